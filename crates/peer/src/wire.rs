//! Frames as plain values.
//!
//! All times are durations: how old a request is, how long it has left. No frame carries the
//! reading of a clock. Ids of instances and requests are text; a `stream` is the number that the
//! asking side gave to one exchange of one session and is echoed in every reply.

use std::time::Duration;

use auburnline_attempt::ledger::Fence;
use auburnline_attempt::ledger::Finding;
use auburnline_configuration::head::Head;
use auburnline_configuration::parcel::Ask;
use auburnline_configuration::parcel::Parcel;
use auburnline_core::answer::Part;
use auburnline_core::id::Attempt;
use auburnline_core::id::GroupId;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Offset;
use auburnline_core::id::RequestId;
use auburnline_core::id::Revision;
use auburnline_core::id::WorkspaceId;
use auburnline_core::load::Report;
use auburnline_core::request::Priority;
use auburnline_core::request::Work;
use bytes::Bytes;

/// Version of this protocol; a peer of another version is refused.
pub const VERSION: u16 = 1;

/// Number that an asking side gives to one exchange.
pub type Stream = u64;

/// One message between two processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// First frame of each side.
    Hello(Hello),
    /// Sign of life with what changes often.
    Heartbeat(Heartbeat),
    /// Sign of life of a sender whose last heartbeat still holds.
    Still(Still),
    /// Run this request.
    Submit(Box<Submit>),
    /// Part of an answer.
    Answer(Answer),
    /// Stop this request.
    Cancel(Reference),
    /// Say whether this request is known.
    Locate(Reference),
    /// Refuse this request for good unless it is known.
    Fence(Stream, Fence),
    /// Reply to a locate, a fence or a cancel.
    Found(Found),
    /// Send the answer from an offset.
    Attach(Attach),
    /// The caller has the answer's bytes before this offset.
    Acknowledge(Attach),
    /// What the sender has in force.
    Announce(Head),
    /// Asks for what the sender lacks of the configuration.
    Ask(Ask),
    /// Answers an ask.
    Parcel(Parcel),
    /// Message of a decision, encoded by its own crate.
    Control(Control),
}

/// First frame of each side of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// Protocol version.
    pub version: u16,
    /// Sender's instance.
    pub instance: InstanceId,
    /// Sender's incarnation.
    pub incarnation: Incarnation,
    /// Time since the sender started.
    pub uptime: Duration,
    /// What the sender has in force.
    pub configuration: Option<Head>,
}

/// Sign of life.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heartbeat {
    /// What the sender has in force.
    pub configuration: Option<Head>,
    /// Whether the sender is leaving the fleet.
    pub leaving: bool,
    /// Whether the sender takes new work.
    pub admitting: bool,
    /// Load of the sender's upstream.
    pub report: Report,
    /// Time until the next one.
    pub next: Duration,
}

impl Heartbeat {
    /// Returns whether `later` says the same, but for times.
    #[must_use]
    pub fn holds_in(&self, later: &Heartbeat) -> bool {
        self.configuration == later.configuration
            && self.leaving == later.leaving
            && self.admitting == later.admitting
            && self.report.load == later.report.load
    }

    /// Returns this heartbeat's sign of life for whoever knows all else of it.
    #[must_use]
    pub const fn still(&self) -> Still {
        Still {
            next: self.next,
            age: self.report.age,
        }
    }

    /// Returns the heartbeat that `still` stands for after this one.
    #[must_use]
    pub fn after(&self, still: Still) -> Heartbeat {
        let mut beat = self.clone();
        beat.next = still.next;
        beat.report.age = still.age;
        beat
    }
}

/// Sign of life of a sender whose last heartbeat still holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Still {
    /// Time until the next one.
    pub next: Duration,
    /// Age of the load report.
    pub age: Duration,
}

/// A request for a slot to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Submit {
    /// Idempotency key.
    pub id: RequestId,
    /// Exchange that the answer belongs to.
    pub stream: Stream,
    /// Incarnation of the slot that this was sent to.
    pub incarnation: Incarnation,
    /// Sender's revision.
    pub revision: Revision,
    /// Attempt that the caller counts; 0 if it did not say.
    pub attempt: Attempt,
    /// Time since the first send of this key.
    pub age: Duration,
    /// Time left.
    pub deadline: Duration,
    /// Workspace that asks.
    pub workspace: WorkspaceId,
    /// Unit of routing that was chosen.
    pub group: GroupId,
    /// Order among waiting requests.
    pub priority: Priority,
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// What is asked for.
    pub work: Work,
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Idempotency key.
    pub id: RequestId,
    /// Exchange that this belongs to.
    pub stream: Stream,
    /// Incarnation of the slot that answers.
    pub incarnation: Incarnation,
    /// Attempt under which the request was admitted or refused.
    pub attempt: Attempt,
    /// Which part.
    pub part: Part,
    /// Revision in force at the slot, with a failure; else 0.
    pub revision: Revision,
}

/// Names a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reference {
    /// Idempotency key.
    pub id: RequestId,
    /// Exchange that a reply belongs to.
    pub stream: Stream,
    /// Revision in force at the sender.
    pub revision: Revision,
}

/// What a slot knows of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// Idempotency key.
    pub id: RequestId,
    /// Exchange that this belongs to.
    pub stream: Stream,
    /// What the slot's ledger says.
    pub finding: Finding,
}

/// An answer and an offset in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attach {
    /// Idempotency key.
    pub id: RequestId,
    /// Exchange that the answer belongs to.
    pub stream: Stream,
    /// The offset.
    pub offset: Offset,
}

/// Message of a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Which decision.
    pub topic: Topic,
    /// Its message, encoded by the decision's own crate or the process's.
    pub bytes: Bytes,
}

/// Which decision a [`Control`] belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum Topic {
    /// Gossip of membership.
    Membership = 1,
    /// Leases of workspaces' limits.
    Limits = 2,
    /// Change of an expert map.
    Experts = 3,
    /// Placement of models.
    Placement = 4,
}

impl Topic {
    /// Returns the topic with this number on the wire.
    #[must_use]
    pub const fn from_number(number: u16) -> Option<Topic> {
        match number {
            1 => Some(Topic::Membership),
            2 => Some(Topic::Limits),
            3 => Some(Topic::Experts),
            4 => Some(Topic::Placement),
            _ => None,
        }
    }
}
