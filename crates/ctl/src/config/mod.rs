//! Verbs on configurations that are files: nothing is asked or sent.

pub(crate) mod check;
pub(crate) mod compare;
mod load;
pub(crate) mod publish;
