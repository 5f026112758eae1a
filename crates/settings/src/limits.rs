//! Limits on connections, sizes and requests of a process, with their defaults.

use serde::Deserialize;
use serde::Serialize;

use crate::check;
use crate::error::Fault;

/// Largest value of any field.
const MAX_LIMIT: u64 = 1 << 32;

/// Limits of a process; each must be greater than zero and at most 2^32.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest number of open connections per listener.
    pub max_connections: usize,
    /// Largest frame between processes, in bytes.
    pub max_frame_bytes: usize,
    /// Largest number of requests queued at a slot; running ones are not counted.
    pub max_in_flight: usize,
    /// Largest number of requests running at an upstream; further ones are queued at its slot.
    pub max_running: usize,
    /// Largest total size of the answers that are kept until they are acknowledged, in bytes.
    pub max_answer_bytes: usize,
    /// Number of decision lines stored for operators.
    pub max_decisions: usize,
    /// Memory of the process in MiB, at least 32; what the system allows if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_memory_mb: Option<usize>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body_bytes: 1 << 20,
            max_header_bytes: 16 << 10,
            max_connections: 4_096,
            max_frame_bytes: 2 << 20,
            max_in_flight: 4_096,
            max_running: 64,
            max_answer_bytes: 32 << 20,
            max_decisions: 4_096,
            max_memory_mb: None,
        }
    }
}

impl Limits {
    const fn fields(&self) -> [(&'static str, usize); 8] {
        [
            ("limits.max_body_bytes", self.max_body_bytes),
            ("limits.max_header_bytes", self.max_header_bytes),
            ("limits.max_connections", self.max_connections),
            ("limits.max_frame_bytes", self.max_frame_bytes),
            ("limits.max_in_flight", self.max_in_flight),
            ("limits.max_running", self.max_running),
            ("limits.max_answer_bytes", self.max_answer_bytes),
            ("limits.max_decisions", self.max_decisions),
        ]
    }

    pub(crate) fn check(&self, faults: &mut Vec<Fault>) {
        for (path, value) in self.fields() {
            check::number(path, value as u64, MAX_LIMIT, faults);
        }
        if let Some(memory) = self.max_memory_mb {
            check::number("limits.max_memory_mb", memory as u64, MAX_LIMIT, faults);
        }
    }
}
