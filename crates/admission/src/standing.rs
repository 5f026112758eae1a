//! The order of requests that want the same capacity.

/// Urgency of a request among those of its service, as an index: 0 is the most urgent.
pub type Urgency = u8;

/// Position of a request in the order in which capacity is given out; the smallest goes first.
///
/// A request that can still meet its objective goes before every one that can't: capacity given to
/// a late request would make another one late too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Standing {
    /// Whether it can no longer meet its objective.
    pub is_late: bool,
    /// Urgency among the requests of the service.
    pub urgency: Urgency,
}
