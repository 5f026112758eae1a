//! Events that the distribution of configurations handles, and actions that it returns.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::published::Section;

use crate::checked::Checked;
use crate::head::Head;
use crate::note::Note;
use crate::parcel::Ask;
use crate::parcel::Parcel;
use crate::parcel::Ticket;
use crate::schedule::Member;
use crate::source::Value;

/// Input of [`crate::spread::Spread::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; due every [`auburnline_membership::pause::TICK`].
    Tick,
    /// A session to this peer came up.
    SessionUp(InstanceId),
    /// The session to this peer went down.
    SessionDown(InstanceId),
    /// The processes believed live; this one may be missing from the list.
    Live(Vec<Member>),
    /// A heartbeat, announcement or request of a peer reported the head that it has in force, if
    /// any.
    Heard(InstanceId, Option<Head>),
    /// A peer requests a newer configuration.
    Asked(InstanceId, Ask),
    /// A peer answered a request.
    Answered(InstanceId, Parcel),
    /// The read with this ticket returned the manifest's bytes.
    Manifest(Ticket, Value),
    /// A read of this section returned its bytes.
    Section(Section, Value),
    /// The read of the manifest with this ticket failed.
    ManifestFailed(Ticket),
    /// A read of this section failed.
    SectionFailed(Section),
}

/// Output of [`crate::spread::Spread::handle`], to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the manifest from the configuration service, and cancel any earlier read of it.
    ReadManifest {
        /// Number that the answer returns.
        ticket: Ticket,
        /// Digest of the manifest that is already known; a watch waits until it changes.
        known: Option<String>,
        /// Maximum time to wait for a change; zero reads at once.
        wait: Duration,
    },
    /// Read a section by its key in the configuration service.
    ReadSection(Section, String),
    /// Send the head in force to these peers at once, without waiting for the next heartbeat.
    Announce(Vec<InstanceId>, Head),
    /// Send a request to a peer.
    Ask(InstanceId, Ask),
    /// Send an answer to a peer.
    Answer(InstanceId, Parcel),
    /// Put a configuration in force.
    Install(Arc<Checked>),
    /// Write to the log.
    Log(Note),
}
