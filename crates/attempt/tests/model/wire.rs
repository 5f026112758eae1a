//! Messages between the entries and slots of the simulation.

use auburnline_attempt::ledger::Fence;
use auburnline_attempt::ledger::Finding;
use auburnline_attempt::ledger::Submission;
use auburnline_attempt::ledger::Verdict;
use auburnline_attempt::stream::Frame;
use auburnline_attempt::stream::Last;
use auburnline_core::error::Kind;
use auburnline_core::id::RequestId;

/// A message together with the call that it belongs to.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Submit {
        call: usize,
        submission: Submission,
    },
    Locate {
        call: usize,
        id: RequestId,
        revision: u64,
    },
    Fence {
        call: usize,
        fence: Fence,
    },
    Resume {
        call: usize,
        id: RequestId,
        incarnation: u64,
        offset: u64,
    },
    Verdict {
        call: usize,
        verdict: Verdict,
        attempt: u32,
    },
    Finding {
        call: usize,
        finding: Finding,
    },
    Frame {
        call: usize,
        frame: Owned,
    },
    End {
        call: usize,
        kind: Option<Kind>,
    },
}

/// An owned copy of a [`Frame`].
#[derive(Clone, Debug)]
pub(crate) struct Owned {
    pub(crate) incarnation: u64,
    pub(crate) id: RequestId,
    pub(crate) attempt: u32,
    pub(crate) offset: u64,
    pub(crate) bytes: Vec<u8>,
    pub(crate) last: Option<Last>,
}

impl Owned {
    pub(crate) fn frame(&self) -> Frame<'_> {
        Frame {
            incarnation: self.incarnation,
            id: &self.id,
            attempt: self.attempt,
            offset: self.offset,
            bytes: &self.bytes,
            last: self.last,
        }
    }
}
