//! Rate limits that upstreams name.

mod book;
mod home;
