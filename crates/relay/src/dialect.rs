//! Encoding and decoding of a platform's HTTP headers and discovery messages.
//!
//! A [`Dialect`] decodes the head of a caller's request once into a [`Call`], writes the head of the
//! request to an upstream, and decodes the head of the upstream's response. It makes no routing
//! decisions and holds no state.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_admission::standing::Urgency;
use auburnline_core::error::Kind;
use auburnline_gateway::event::EventId;
use auburnline_gateway::prompt::Part;
use auburnline_quota::Rate;
use bytes::Bytes;
use http::HeaderMap;
use http::Uri;

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The caller's id for this attempt; empty if the caller sent none.
    pub id: String,
    /// Host name without the port.
    pub host: String,
    /// Key of the caller's workspace, if it sent one.
    pub key: Option<String>,
    /// Time that the caller waits for the response; `None` if it does not say.
    pub timeout: Option<Duration>,
    /// Last event that the caller has received, if it resumes a stream.
    pub after: Option<EventId>,
    /// Parts of the prompt that other requests may share, from the most shared one on; at most
    /// [`MAX_PARTS`](auburnline_gateway::prompt::MAX_PARTS).
    pub parts: Vec<Part>,
    /// Last part of its prompt, which belongs to it or to its session.
    pub last_part: Option<Part>,
}

/// Values for the head of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Outbound<'a> {
    /// Id of the upstream that may execute the request; any other one refuses it.
    pub upstream: &'a str,
    /// Time left until the request's deadline.
    pub left: Duration,
    /// Name of the workspace that the request belongs to, if any.
    pub workspace: Option<&'a str>,
    /// Urgency for the upstream, from 0 to 9, 0 first; none if the upstream is told none.
    pub urgency: Option<Urgency>,
    /// Event after which the stream is to continue, if this attempt resumes one.
    pub after: Option<EventId>,
}

/// How the head of a response relates to the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// A response to this request.
    Answer,
    /// The upstream states that it did not execute the request.
    NotRun,
    /// The process at the address states that it is not the upstream that the request was for, and did not execute it.
    Misdirected,
    /// Not a response to this request, or one that lacks what is needed to pass it on.
    Unrelated,
}

/// Rate limit carried by the head of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// No limit.
    Nothing,
    /// Requests per second that the upstream accepts from all gateways combined.
    Rate(Rate),
    /// A value that cannot be parsed.
    Malformed,
}

/// Backoff that the head of a response asks this gateway for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backoff {
    /// None.
    Nothing,
    /// No requests from this gateway for this time.
    For(Duration),
    /// A value that cannot be parsed.
    Malformed,
}

/// A discovery request: a caller asks which gateways to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryRequest {
    /// Failure domain of the caller, if it names one.
    pub failure_domain: Option<String>,
}

/// Codec for one platform's messages.
pub trait Dialect {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the kind of error to answer with if the head is malformed.
    fn call(&self, uri: &Uri, headers: &HeaderMap) -> Result<Call, Kind>;

    /// Rewrites the end-to-end headers of a caller's request for an upstream.
    fn outbound(&self, headers: &mut HeaderMap, outbound: &Outbound<'_>);

    /// Classifies the head of a response to the attempt `id`.
    fn classify(&self, status: http::StatusCode, headers: &HeaderMap, id: &str) -> Classification;

    /// Decodes the rate limit from the head of a response.
    fn limit(&self, headers: &HeaderMap) -> Limit;

    /// Decodes the requested backoff from the head of a response.
    fn backoff(&self, status: http::StatusCode, headers: &HeaderMap) -> Backoff;

    /// Returns whether the head of a response announces that the upstream is shutting down.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Adds the platform's headers to a response that the gateway generates itself.
    fn generated_response(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);

    /// Decodes a discovery request; `None` if `uri` is for something else.
    fn discovery_request(&self, uri: &Uri) -> Option<DiscoveryRequest>;

    /// Encodes the response to a discovery request: the gateways to use, and how long the caller may cache them.
    fn discovery_response(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;

    /// Returns the path of the platform's readiness probe.
    fn ready_path(&self) -> &'static str;
}
