//! Read-only client of the product's own configuration service and instance list.
//!
//! A read is a single call, and so is a watch, which long-polls. The returned data may be stale, out
//! of date or missing; this crate returns it with its version and leaves the interpretation to the
//! caller. Each call opens a new connection, because a kept-alive one may have stopped responding
//! without being closed.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::published::MAX_VALUE_BYTES;
use auburnline_http::Connection;
pub use auburnline_http::Failure;
use auburnline_http::Reply;
pub use auburnline_http::Timeouts;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt as _;
use http::Request;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

/// Response header that carries the version of a value.
pub const VERSION_HEADER: &str = "x-version";
/// Default limit on the wait for the head of a reply and between two parts of its body.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A versioned value of the configuration service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version, increased by each change of the value.
    pub version: u64,
    /// Content, at most [`MAX_VALUE_BYTES`] long.
    pub bytes: Bytes,
}

/// Live and leaving instances, as reported by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Version of the instance list.
    pub version: u64,
    /// Instances that are running.
    pub live: Vec<InstanceId>,
    /// Instances that are about to stop.
    pub leaving: Vec<InstanceId>,
}

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct Client(auburnline_http::Client);

impl Client {
    /// Creates a client of the platform at `address`, with a timeout of 2 s.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let timeouts = Timeouts::new().head(TIMEOUT).silence(TIMEOUT);
        Self::with_timeouts(address, timeouts)
    }

    /// Creates a client with the given timeouts.
    #[must_use]
    pub fn with_timeouts(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self(auburnline_http::Client::new(address, timeouts))
    }

    /// Reads the value of `key`, or `None` if it is not set.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn read(&self, key: &str) -> Result<Option<Value>, Report<Failure>> {
        let path = path(key)?;
        let reply = self.get(&path, self.0.head_timeout()).await?;
        value(reply).await
    }

    /// Waits for a version of `key` greater than `after`; `None` if there is none within `wait`.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Value>, Report<Failure>> {
        let path = format!("{}?after={after}&wait_ms={}", path(key)?, wait.as_millis());
        let bound = wait.saturating_add(self.0.head_timeout());
        let reply = self.get(&path, bound).await?;
        value(reply).await
    }

    /// Reads the list of instances.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn instances(&self) -> Result<Instances, Report<Failure>> {
        let reply = self.get("/v1/instances", self.0.head_timeout()).await?;
        auburnline_http::json(reply).await
    }

    async fn get(&self, path: &str, bound: Duration) -> Result<Reply, Report<Failure>> {
        let request = Request::get(self.0.uri(path)?)
            .body(Bytes::new().into())
            .change_context(Failure::NotSent)?;
        self.0.send_within(request, Connection::Fresh, bound).await
    }
}

/// Returns the URL path of a key.
///
/// A key may contain slashes, but no character that needs escaping and no empty or dots-only segment,
/// which URL resolution would remove.
fn path(key: &str) -> Result<String, Report<Failure>> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let segment = |part: &str| !part.trim_matches('.').is_empty() && part.bytes().all(plain);
    if !key.split('/').all(segment) {
        return Err(Report::new(Failure::NotSent).attach("the key is not valid as a URL path"));
    }
    Ok(format!("/v1/values/{key}"))
}

async fn value(reply: Reply) -> Result<Option<Value>, Report<Failure>> {
    match reply.status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => return Ok(None),
        status => return Err(Report::new(Failure::Failed).attach(status)),
    }
    let version = reply
        .headers
        .get(VERSION_HEADER)
        .and_then(|version| version.to_str().ok()?.parse().ok())
        .ok_or_else(|| {
            Report::new(Failure::Malformed)
                .attach("x-version header is missing or not an unsigned integer")
        })?;
    let bytes = reply.body.whole(MAX_VALUE_BYTES).await?;
    Ok(Some(Value { version, bytes }))
}
