//! Client of the product's own configuration service and instance list.
//!
//! Both can only be read. A read is one call, and so is a watch that waits. What is read may be
//! stale, old or missing; this package passes it on with its version and decides nothing. Each call
//! has a connection of its own, since one that is kept may have gone silent.

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

/// Header with the version of a value.
pub const VERSION_HEADER: &str = "x-version";
/// Longest silence of the platform's connection.
const SILENCE: Duration = Duration::from_secs(2);

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version, grows with each change of the value.
    pub version: u64,
    /// Content.
    pub bytes: Bytes,
}

/// Live and leaving instances, as the platform believes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// Version of the list.
    pub version: u64,
    /// Instances that run.
    pub live: Vec<InstanceId>,
    /// Instances that are about to stop.
    pub leaving: Vec<InstanceId>,
}

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct Client(auburnline_http::Client);

impl Client {
    /// Returns a client of the platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let timeouts = Timeouts::new().head(SILENCE).silence(SILENCE);
        Self::with_timeouts(address, timeouts)
    }

    /// Returns a client with other bounds.
    #[must_use]
    pub fn with_timeouts(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self(auburnline_http::Client::new(address, timeouts))
    }

    /// Reads the value of `key`, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns why the value could not be read.
    pub async fn read(&self, key: &str) -> Result<Option<Value>, Report<Failure>> {
        let path = path(key)?;
        let reply = self.get(&path, self.0.head_timeout()).await?;
        value(reply).await
    }

    /// Waits until the version of `key` passes `after`; `None` if it did not within `wait`.
    ///
    /// # Errors
    ///
    /// Returns why the value could not be read.
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
    /// Returns why the list could not be read.
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

/// Returns the path of a key, which may hold slashes but nothing that a path escapes or resolves.
fn path(key: &str) -> Result<String, Report<Failure>> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let segment = |part: &str| !part.trim_matches('.').is_empty() && part.bytes().all(plain);
    if !key.split('/').all(segment) {
        return Err(Report::new(Failure::NotSent).attach("the key can't stand in a path"));
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
        .ok_or_else(|| Report::new(Failure::Malformed).attach("no version"))?;
    let bytes = reply.body.whole(MAX_VALUE_BYTES).await?;
    Ok(Some(Value { version, bytes }))
}
