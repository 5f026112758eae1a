//! Builders shared by the tests.

use std::sync::Arc;
use std::time::Duration;

use auburnline_attempt::ledger::Bounds;
use auburnline_attempt::ledger::Fence;
use auburnline_attempt::ledger::Ledger;
use auburnline_attempt::ledger::Submission;
use auburnline_core::request::Priority;
use auburnline_core::request::Request;
use auburnline_core::request::Work;

pub(crate) const INCARNATION: u64 = 7;

pub(crate) fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub(crate) fn ledger() -> Ledger {
    Ledger::new(Duration::ZERO, INCARNATION, Bounds::default())
}

pub(crate) fn submission(id: &str) -> Submission {
    Submission {
        id: Arc::from(id),
        attempt: 1,
        age: Duration::ZERO,
        idempotent: false,
        fingerprint: 1,
        incarnation: INCARNATION,
        revision: 0,
    }
}

pub(crate) fn fence(id: &str, favoured: Option<&str>) -> Fence {
    Fence {
        id: Arc::from(id),
        favoured: favoured.map(Arc::from),
        revision: 0,
    }
}

pub(crate) fn request(id: &str, attempt: Option<u32>) -> Request {
    Request {
        id: Arc::from(id),
        attempt,
        age: Duration::ZERO,
        workspace: Arc::from("desk"),
        priority: Priority::Normal,
        deadline: seconds(30),
        idempotent: false,
        work: Work::Call {
            service: Arc::from("dispatch"),
            method: "POST".to_owned(),
            path: "/send".to_owned(),
            body: Vec::new(),
        },
    }
}
