//! Rate limits that upstreams name.

mod book;
