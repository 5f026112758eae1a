//! What callers ask of the process.

use auburnline_core::answer::Part;
use auburnline_core::id::Offset;
use auburnline_core::id::RequestId;
use auburnline_core::request::Request;
use auburnline_duty::ring;
use tokio::sync::oneshot;

use crate::api::Discovery;
use crate::api::Status;

/// Parts of an answer that may wait for a slow caller.
pub const PARTS: usize = 1024;

/// Where the parts of an answer go.
pub type Parts = ring::Sender<Part>;

/// Who chose the idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// The caller, who may ask again with it.
    Caller,
    /// This process, since the caller gave none.
    Minted,
}

/// One wish of a caller.
#[derive(Debug)]
pub enum Command {
    /// Run a request.
    Submit {
        /// The request.
        request: Box<Request>,
        /// Who chose its key.
        key: Key,
        /// Where the answer goes.
        parts: Parts,
    },
    /// Send an answer again from an offset.
    Resume {
        /// Its key.
        id: RequestId,
        /// First byte wanted.
        offset: Offset,
        /// Where the answer goes.
        parts: Parts,
    },
    /// Stop a request.
    Cancel {
        /// Its key.
        id: RequestId,
        /// What is known of it then.
        reply: oneshot::Sender<Status>,
    },
    /// Tell what is known of a request.
    Status {
        /// Its key.
        id: RequestId,
        /// What is known.
        reply: oneshot::Sender<Status>,
    },
    /// Tell which entries to use.
    Discover {
        /// The entries.
        reply: oneshot::Sender<Discovery>,
    },
}
