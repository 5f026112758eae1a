//! Settings of the processes, read from JSON.
//!
//! A process reads its addresses and its failure domain from one JSON file. [`read`] parses the file,
//! refuses unknown fields and wrong types, and then checks constraints that the types can't express;
//! each [`Fault`] has the path of its field. The configuration that operators publish for the whole
//! fleet is in `auburnline-configuration`; [`Entry::check_against`] and [`Slot::check_against`]
//! compare the settings with it once it is available.
//!
//! [`arguments`] holds the command line that all daemons share.

pub mod arguments;
mod check;
mod entry;
mod error;
mod limits;
pub mod number;
mod read;
mod slot;
mod timing;
mod token;

pub use entry::Entry;
pub use error::Error;
pub use error::Fault;
pub use error::Reason;
pub use limits::Limits;
pub use read::Settings;
pub use read::parse;
pub use read::read;
pub use slot::Kind;
pub use slot::Slot;
pub use timing::Timing;
pub use token::Token;
