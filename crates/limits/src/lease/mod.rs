//! Leases of a workspace's token rate.
//!
//! The home of a workspace is the entry that comes first in the workspace's rendezvous order over the
//! entries believed live. It owns the workspace's token bucket and grants short leases of its tokens.
//! The home isn't elected and no state is stored, so entries with different views may use different
//! homes. Two rules keep the sum of all grants within the limit. First, a home grants only a share of
//! the limit: the entries that it sees as a fraction of all published entries. Second, a change of
//! view that lets a home grant more takes effect only after the view has been unchanged for the hold
//! time, and one that makes it grant less takes effect at once. The hold time is longer than a lease,
//! so the leases of an earlier home have expired by then.
//!
//! Homes don't grant a small fraction of each limit. Each entry has its own share of that
//! ([`Reserve`]), so that an entry can serve some requests when no home answers it.
//!
//! The rules require that views agree within the hold time. If visibility stays asymmetric (an entry
//! sees another that doesn't see it), two homes can grant the same share at once. Membership has to
//! treat such a pair as not seeing each other.

mod account;
mod home;
mod message;
mod reserve;
mod share;
mod view;

pub use account::Limit;
pub use home::Home;
pub use message::Ask;
pub use message::Grant;
pub use message::Grants;
pub use message::Want;
pub use reserve::Reserve;
pub use view::View;

use std::time::Duration;

/// Times and bounds of leases. They must be the same at all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which a lease is valid, counted from when the entry sent its ask.
    pub lease_time: Duration,
    /// Hold time: how long a view must be unchanged before a home grants more because of it. Covers a lease and
    /// the time by which the entries' views may differ.
    pub hold_time: Duration,
    /// Maximum tokens of one request; a home refuses a larger need.
    pub max_request_tokens: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lease_time: Duration::from_secs(2),
            hold_time: Duration::from_secs(4),
            max_request_tokens: 1 << 17,
        }
    }
}
