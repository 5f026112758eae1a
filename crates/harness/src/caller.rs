//! A caller.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_http::Client;
use auburnline_http::Connection;
use auburnline_http::Failure;
use auburnline_http::Timeouts;
use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// Largest answer that is read.
const MAX_BYTES: usize = 16 << 20;

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Wish {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Wish {
    /// A draft of `tokens` tokens, streamed.
    #[must_use]
    pub fn draft(prompt: &str, tokens: u32) -> Wish {
        let body = serde_json::json!({
            "model": crate::fleet::MODEL,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": true,
        });
        Wish::new(Method::POST, "/v1/drafts")
            .header("content-type", "application/json")
            .body(body.to_string())
    }

    /// A draft that may be repeated.
    #[must_use]
    pub fn idempotent_draft(prompt: &str, tokens: u32) -> Wish {
        let body = serde_json::json!({
            "model": crate::fleet::MODEL,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": true,
            "idempotent": true,
        });
        Wish::new(Method::POST, "/v1/drafts")
            .header("content-type", "application/json")
            .body(body.to_string())
    }

    /// A call of the plain service.
    #[must_use]
    pub fn call(method: Method, path: &str) -> Wish {
        Wish::new(
            method,
            &format!("/v1/services/{}{path}", crate::fleet::SERVICE),
        )
    }

    /// Any request.
    #[must_use]
    pub fn new(method: Method, path: &str) -> Wish {
        Wish {
            method,
            path: path.to_owned(),
            headers: vec![("workspace", "mediators".to_owned())],
            body: Bytes::new(),
        }
    }

    /// Adds or replaces a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Wish {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.into()));
        self
    }

    /// Sets key, attempt and age.
    #[must_use]
    pub fn attempt(self, key: &str, attempt: u32, age: Duration) -> Wish {
        self.header("idempotency-key", key)
            .header("attempt", attempt.to_string())
            .header("request-age-ms", age.as_millis().to_string())
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Wish {
        self.body = body.into();
        self
    }
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A whole answer; the text of a stream's tokens put together.
    Whole(String),
    /// A typed answer that is no success, with the text that came before it.
    Failed {
        /// Its kind.
        kind: Kind,
        /// What it says of the request's fate.
        fate: Fate,
        /// Time to come back.
        retry: Option<Duration>,
        /// Text before it.
        before: String,
    },
    /// Nothing typed: the connection was lost, or nothing came in time.
    Lost {
        /// Whether the request may have reached an entry.
        sent: bool,
        /// Text before it.
        before: String,
    },
}

impl Reply {
    /// Returns the kind of an answer that is no success.
    #[must_use]
    pub fn kind(&self) -> Option<Kind> {
        match self {
            Reply::Failed { kind, .. } => Some(*kind),
            _ => None,
        }
    }

    /// Returns the fate that the answer tells.
    #[must_use]
    pub fn fate(&self) -> Fate {
        match self {
            Reply::Whole(_) => Fate::Ran,
            Reply::Failed { fate, .. } => *fate,
            Reply::Lost { sent: false, .. } => Fate::NotRun,
            Reply::Lost { sent: true, .. } => Fate::Unknown,
        }
    }
}

#[derive(Deserialize)]
struct Problem {
    kind: Kind,
    fate: Fate,
    retry_after_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Token {
    text: String,
}

/// A caller, with a runtime of its own.
#[derive(Debug)]
pub struct Caller {
    runtime: Runtime,
    silence: Duration,
}

impl Default for Caller {
    fn default() -> Caller {
        Caller::new(Duration::from_secs(10))
    }
}

impl Caller {
    /// Makes a caller that waits no longer than `silence` for the next byte.
    ///
    /// # Panics
    ///
    /// If the system gives no runtime.
    #[must_use]
    pub fn new(silence: Duration) -> Caller {
        let runtime = Builder::new_current_thread().enable_all().build();
        Caller {
            runtime: runtime.expect("a runtime"),
            silence,
        }
    }

    /// Sends a request to an entry and reads its answer to the end.
    #[must_use]
    pub fn send(&self, entry: SocketAddr, wish: &Wish) -> Reply {
        self.runtime
            .block_on(exchange(entry, wish, self.silence, usize::MAX))
    }

    /// Sends a request and hangs up once `bytes` of text have come.
    #[must_use]
    pub fn send_until(&self, entry: SocketAddr, wish: &Wish, bytes: usize) -> Reply {
        self.runtime
            .block_on(exchange(entry, wish, self.silence, bytes))
    }

    /// Reads a JSON answer; `None` if there is none.
    pub fn json<T: serde::de::DeserializeOwned>(&self, at: SocketAddr, wish: &Wish) -> Option<T> {
        match self.raw(at, wish) {
            Some((200, body)) => serde_json::from_slice(&body).ok(),
            _ => None,
        }
    }

    /// Reads status and body of any answer; `None` if there is none.
    #[must_use]
    pub fn raw(&self, at: SocketAddr, wish: &Wish) -> Option<(u16, Bytes)> {
        self.runtime.block_on(async {
            let reply = open(at, wish, self.silence).await.ok()?;
            let status = reply.status.as_u16();
            let body = reply.body.whole(MAX_BYTES).await.ok()?;
            Some((status, body))
        })
    }
}

async fn open(
    at: SocketAddr,
    wish: &Wish,
    silence: Duration,
) -> Result<auburnline_http::Reply, Failure> {
    let timeouts = Timeouts::new()
        .connect(silence)
        .head(silence)
        .silence(silence);
    let client = Client::new(at, timeouts);
    let uri = client
        .uri(&wish.path)
        .map_err(|report| *report.current_context())?;
    let mut request = Request::builder().method(wish.method.clone()).uri(uri);
    for (name, value) in &wish.headers {
        request = request.header(*name, value);
    }
    let request = request.body(Full::new(wish.body.clone()));
    let request = request.map_err(|_| Failure::NotSent)?;
    let sent = client.send(request, Connection::Fresh).await;
    sent.map_err(|report| *report.current_context())
}

async fn exchange(at: SocketAddr, wish: &Wish, silence: Duration, most: usize) -> Reply {
    let mut text = String::new();
    let mut reply = match open(at, wish, silence).await {
        Ok(reply) => reply,
        Err(failure) => {
            return Reply::Lost {
                sent: failure != Failure::NotSent,
                before: text,
            };
        }
    };
    let stream = reply
        .headers
        .get("content-type")
        .is_some_and(|it| it == "text/event-stream");
    if !stream {
        let status = reply.status;
        return match reply.body.whole(MAX_BYTES).await {
            Ok(body) if status.is_success() => Reply::Whole(String::from_utf8_lossy(&body).into()),
            Ok(body) => problem(&body, text),
            Err(_) => Reply::Lost {
                sent: true,
                before: text,
            },
        };
    }
    let mut buffer = String::new();
    while let Some(Ok(bytes)) = reply.body.next().await {
        buffer.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = buffer.find("\n\n") {
            let event: String = buffer.drain(..end + 2).collect();
            if let Some(reply) = take(&event, &mut text) {
                return reply;
            }
        }
        if text.len() >= most {
            break;
        }
    }
    Reply::Lost {
        sent: true,
        before: text,
    }
}

/// Takes one server-sent event; returns the reply if it is the last.
fn take(event: &str, text: &mut String) -> Option<Reply> {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
    let data = field("data: ").unwrap_or_default();
    match field("event: ") {
        Some("token") => {
            let token: Token = serde_json::from_str(data).ok()?;
            text.push_str(&token.text);
            None
        }
        Some("end") => Some(Reply::Whole(std::mem::take(text))),
        Some("error") => Some(problem(data.as_bytes(), std::mem::take(text))),
        _ => None,
    }
}

fn problem(body: &[u8], before: String) -> Reply {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => Reply::Failed {
            kind: problem.kind,
            fate: problem.fate,
            retry: problem.retry_after_ms.map(Duration::from_millis),
            before,
        },
        Err(_) => Reply::Lost { sent: true, before },
    }
}
