//! Calls to the operators' addresses of many processes at once.

use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_http::Client;
use auburnline_http::Connection;
use auburnline_http::MAX_JSON_BYTES;
use auburnline_http::Reply;
use auburnline_http::Timeouts;
use auburnline_operator::Failure;
use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use http::Method;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::Full;
use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Processes asked at once.
///
/// Silent ones cost a whole timeout each; at this many, a lost region of the largest fleet that we
/// build for costs a few of them.
const AT_ONCE: usize = 256;

/// Why a process gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// It couldn't be reached, or fell silent.
    Unreachable(String),
    /// It refused the call.
    Refused(Failure),
    /// It answered what can't be understood.
    Malformed(String),
}

impl Display for Trouble {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Trouble::Unreachable(cause) => write!(f, "unreachable: {cause}"),
            Trouble::Refused(failure) => write!(f, "refused: {failure}"),
            Trouble::Malformed(cause) => write!(f, "not understood: {cause}"),
        }
    }
}

impl Serialize for Trouble {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// What one process answered.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row<T> {
    /// Its operators' address.
    pub(crate) address: SocketAddr,
    /// Its answer, if any.
    pub(crate) answer: Option<T>,
    /// Why there is none.
    pub(crate) trouble: Option<Trouble>,
}

/// The processes to ask.
pub(crate) struct Fleet {
    addresses: Vec<SocketAddr>,
    token: String,
    limit: Duration,
}

impl Fleet {
    pub(crate) fn new(mut addresses: Vec<SocketAddr>, token: String, limit: Duration) -> Fleet {
        addresses.sort_unstable();
        addresses.dedup();
        Fleet {
            addresses,
            token,
            limit,
        }
    }

    /// Returns all addresses, in order.
    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Asks all processes, and returns a row for each in the order of their addresses.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Vec<Row<T>> {
        self.get_from(&self.addresses, path).await
    }

    /// Asks some processes, and returns a row for each in the order of their addresses.
    pub(crate) async fn get_from<T: DeserializeOwned>(
        &self,
        addresses: &[SocketAddr],
        path: &str,
    ) -> Vec<Row<T>> {
        let mut rows: Vec<Row<T>> = stream::iter(addresses)
            .map(|&address| self.call(address, Method::GET, path))
            .buffer_unordered(AT_ONCE)
            .collect()
            .await;
        rows.sort_by_key(|row| row.address);
        rows
    }

    /// Calls one process.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
    ) -> Row<T> {
        let call = exchange(address, method, path, Some(&self.token), self.limit);
        let result = timeout(self.limit, call).await;
        let result = result.unwrap_or_else(|_| {
            let limit = self.limit.as_millis();
            Err(Trouble::Unreachable(format!("no answer in {limit} ms")))
        });
        let (answer, trouble) = match result {
            Ok(answer) => (Some(answer), None),
            Err(trouble) => (None, Some(trouble)),
        };
        Row {
            address,
            answer,
            trouble,
        }
    }
}

/// Sends one call and reads its answer.
pub(crate) async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    limit: Duration,
) -> Result<T, Trouble> {
    let timeouts = Timeouts::new().connect(limit).head(limit).silence(limit);
    let client = Client::new(address, timeouts);
    let uri = client.uri(path).map_err(|report| malformed(&report))?;
    let mut request = Request::builder().method(method).uri(uri);
    if let Some(token) = token {
        request = request.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request
        .body(Full::new(Bytes::new()))
        .map_err(|error| malformed(&error))?;
    let reply = client
        .send(request, Connection::Fresh)
        .await
        .map_err(|report| Trouble::Unreachable(report.to_string()))?;
    read(reply).await
}

async fn read<T: DeserializeOwned>(reply: Reply) -> Result<T, Trouble> {
    let status = reply.status;
    let body = reply
        .body
        .whole(MAX_JSON_BYTES)
        .await
        .map_err(|report| Trouble::Unreachable(report.to_string()))?;
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|error| malformed(&error));
    }
    match serde_json::from_slice(&body) {
        Ok(failure) => Err(Trouble::Refused(failure)),
        Err(_) => Err(Trouble::Malformed(format!("status {status}"))),
    }
}

fn malformed(cause: &impl Display) -> Trouble {
    Trouble::Malformed(cause.to_string())
}
