//! How a platform spells its messages.
//!
//! A [`Dialect`] decodes the head of a caller's request once into a [`Call`], writes the head of what
//! goes on to an upstream, and reads from the head of an answer what the upstream says. It decides
//! nothing and keeps nothing.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_gateway::event::EventId;
use auburnline_quota::Rate;
use bytes::Bytes;
use http::HeaderMap;
use http::Uri;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Host, without a port.
    pub host: String,
    /// Key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// Event after which the caller wants a stream to go on.
    pub after: Option<EventId>,
}

/// What the head of a request to an upstream has to say.
#[derive(Clone, Copy, Debug)]
pub struct Onward<'a> {
    /// Incarnation of the upstream that may run the request.
    pub upstream: &'a str,
    /// Time left.
    pub left: Duration,
    /// Workspace that the request belongs to.
    pub workspace: Option<&'a str>,
    /// Event after which a stream is to go on, if this send resumes one.
    pub after: Option<EventId>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream's answer to this request.
    Answer,
    /// The upstream says that it did not run the request.
    NotRun,
    /// Not an answer to this request, or not one that can be passed on.
    Foreign,
}

/// What the head of an upstream's answer says of its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// It has none.
    Nothing,
    /// It takes so many requests a second from all gateways together.
    Rate(Rate),
    /// It names one that can't be understood.
    Malformed,
}

/// What the head of an upstream's answer says of when it takes requests of this gateway again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backoff {
    /// At any time.
    Nothing,
    /// Not before this time has passed.
    For(Duration),
    /// It says something that can't be understood.
    Malformed,
}

/// A caller's question which gateways to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Question {
    /// Failure domain of the caller.
    pub failure_domain: Option<String>,
}

/// Spelling of one platform's messages.
pub trait Dialect {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the kind of answer if the head can't be understood.
    fn call(&self, uri: &Uri, headers: &HeaderMap) -> Result<Call, Kind>;

    /// Changes the end-to-end headers of a caller's request into those for an upstream.
    fn onward(&self, headers: &mut HeaderMap, onward: &Onward<'_>);

    /// Reads what an upstream's answer says about the attempt `id`.
    fn verdict(&self, status: http::StatusCode, headers: &HeaderMap, id: &str) -> Verdict;

    /// Reads the rate limit that the head of an upstream's answer names.
    fn limit(&self, headers: &HeaderMap) -> Limit;

    /// Reads for how long the head of an upstream's answer asks this gateway to back off.
    fn backoff(&self, status: http::StatusCode, headers: &HeaderMap) -> Backoff;

    /// Returns whether the head of an upstream's answer says that it is about to leave.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Adds to the headers of an answer of the gateway's own.
    fn own_answer(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);

    /// Decodes a question which gateways to use; none if it is something else.
    fn question(&self, uri: &Uri) -> Option<Question>;

    /// Writes which gateways a caller should use, and for how long.
    fn offer(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;

    /// Path at which the platform asks whether this gateway is ready.
    fn ready_path(&self) -> &'static str;
}
