//! What a test asks of a running stand-in: to set faults and values, and to tell effects.

use std::net::SocketAddr;

use auburnline_http::Client;
use auburnline_http::Connection;
use auburnline_http::Failure;
use auburnline_http::Timeouts;
use auburnline_http::json;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt as _;
use http::Method;
use http::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::effects;
use crate::effects::Effect;

/// Most bytes of effects that are read.
const MAX_EFFECTS_BYTES: usize = 256 << 20;

/// Replaces the faults of the stand-in at `address`.
///
/// # Errors
///
/// Returns why it could not be told.
pub async fn set_fault<T: Serialize>(
    address: SocketAddr,
    fault: &T,
) -> Result<(), Report<Failure>> {
    send(address, Method::POST, "/test/fault", to_bytes(fault)?).await
}

/// Sets what the relay with its control at `address` does.
///
/// # Errors
///
/// Returns why it could not be told.
pub async fn set_relay(
    address: SocketAddr,
    mode: crate::relay::Mode,
) -> Result<(), Report<Failure>> {
    send(address, Method::POST, "/test/relay", to_bytes(&mode)?).await
}

/// Sets a value of the platform and returns its version.
///
/// # Errors
///
/// Returns why it could not be told.
pub async fn set_value(
    address: SocketAddr,
    key: &str,
    value: impl Into<Bytes>,
) -> Result<u64, Report<Failure>> {
    let path = format!("/test/values/{key}");
    send(address, Method::PUT, &path, value.into()).await
}

/// Sets the instance list of the platform.
///
/// # Errors
///
/// Returns why it could not be told.
pub async fn set_instances(
    address: SocketAddr,
    instances: &auburnline_registry::Instances,
) -> Result<(), Report<Failure>> {
    send(
        address,
        Method::PUT,
        "/test/instances",
        to_bytes(instances)?,
    )
    .await
}

/// Returns the calls that the platform at `address` has counted.
///
/// # Errors
///
/// Returns why they could not be read.
pub async fn calls(address: SocketAddr) -> Result<crate::platform::Calls, Report<Failure>> {
    send(address, Method::GET, "/test/calls", Bytes::new()).await
}

/// Returns the effects of the stand-in at `address`.
///
/// # Errors
///
/// Returns why they could not be read.
pub async fn effects(address: SocketAddr) -> Result<Vec<Effect>, Report<Failure>> {
    let client = Client::new(address, Timeouts::default());
    let request = Request::get(client.uri("/test/effects")?)
        .body(Bytes::new().into())
        .change_context(Failure::NotSent)?;
    let reply = client.send(request, Connection::Fresh).await?;
    let bytes = reply.body.whole(MAX_EFFECTS_BYTES).await?;
    effects::parse(&String::from_utf8_lossy(&bytes)).change_context(Failure::Malformed)
}

async fn send<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<T, Report<Failure>> {
    let client = Client::new(address, Timeouts::default());
    let request = Request::builder()
        .method(method)
        .uri(client.uri(path)?)
        .body(body.into())
        .change_context(Failure::NotSent)?;
    json(client.send(request, Connection::Fresh).await?).await
}

fn to_bytes<T: Serialize>(value: &T) -> Result<Bytes, Report<Failure>> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .change_context(Failure::NotSent)
}
