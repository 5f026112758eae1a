//! Leases of a workspace's token rate.
//!
//! The home entry of a workspace, the first of its rendezvous order over the entries believed live,
//! owns the workspace's token bucket and grants short leases of its tokens. Nobody elects the home
//! and nothing is stored: entries whose views differ may have different homes, and the sum of
//! their grants stays within the limit by two rules. A home grants only the part of the limit that
//! the entries it sees are of all published ones; and whatever a change of view would let it grant
//! more, it grants only after that view has stood for one hold, while what it must grant less, it
//! grants less at once. A hold is longer than a lease, so what an older home granted has ended.
//!
//! A small part of each limit is granted by no home: every entry has its own share of that
//! ([`Reserve`]), so that one which no home answers is not idle.
//!
//! The rules need views that agree within a hold. Views that stay one-sided (an entry sees another
//! that does not see it) can make two homes grant at once; membership has to take such a pair as
//! not seen on both sides.

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

/// Times and bounds of leases, equal in all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Life of a lease.
    pub lease: Duration,
    /// Time that a view stands before it lets a home grant more; a lease and the views' skew.
    pub hold: Duration,
    /// Most tokens of one request.
    pub max_need: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            lease: Duration::from_secs(2),
            hold: Duration::from_secs(4),
            max_need: 1 << 17,
        }
    }
}
