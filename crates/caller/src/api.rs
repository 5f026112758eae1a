//! The endpoints and the shapes of their bodies.

use std::sync::Arc;

use auburnline_core::answer::Failure;
use auburnline_core::error::Kind;
use auburnline_core::id::RequestId;
use auburnline_core::request::Request;
use auburnline_core::request::Work;
use auburnline_duty::ring;
use dropshot::Body;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::UntypedBody;
use dropshot::endpoint;
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::command::Command;
use crate::command::Key;
use crate::command::PARTS;
use crate::failure::Problem;
use crate::headers;
use crate::headers::Headers;
use crate::reply;
use crate::reply::Form;
use crate::server::Context;
use crate::timed::Timed;

/// Longest idempotency key in a path.
const MAX_ID_BYTES: usize = 128;

/// Entries to use, and for how long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Discovery {
    /// Entries in the order to try them.
    pub entries: Vec<Place>,
    /// How long this answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Place {
    /// Name of its instance.
    pub instance: String,
    /// Address, IP number and port.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Idempotency key.
    pub request_id: String,
    /// What is known.
    pub state: State,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Not found where this entry could ask; it may have run elsewhere.
    NotFound,
    /// Waits or runs.
    Running,
    /// Finished, and its answer is kept.
    Finished,
    /// A slot refused it; it may run, or have run, at another.
    Refused,
    /// Failed or cancelled after it had started.
    Failed,
    /// Its fate is lost.
    Unknown,
}

/// A draft to make.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Draft {
    /// Model that drafts.
    model: String,
    /// Text to continue.
    prompt: String,
    /// Most tokens to generate.
    max_tokens: u32,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    stream: bool,
    /// Whether the draft may be made twice.
    #[serde(default)]
    idempotent: bool,
}

#[derive(Deserialize, JsonSchema)]
pub(crate) struct RequestPath {
    /// Idempotency key.
    id: String,
}

#[derive(Deserialize, JsonSchema)]
pub(crate) struct ResumeQuery {
    /// First byte wanted; the id of the last event that arrived.
    #[serde(default)]
    offset: u64,
}

#[derive(Deserialize, JsonSchema)]
pub(crate) struct CallPath {
    /// Pool of the plain service.
    service: String,
    /// Rest of the path.
    path: Vec<String>,
}

/// Tell which entries to use.
#[endpoint { method = GET, path = "/v1/entries" }]
pub(crate) async fn discover(
    context: RequestContext<Context>,
) -> Result<HttpResponseOk<Discovery>, Problem> {
    let (reply, answer) = oneshot::channel();
    push(&context, Command::Discover { reply })?;
    answer.await.map(HttpResponseOk).map_err(|_| gone())
}

/// Make a draft.
///
/// Headers: `workspace` (must), `idempotency-key`, `attempt`, `request-age-ms`, `priority`,
/// `deadline-ms`.
#[endpoint { method = POST, path = "/v1/drafts" }]
pub(crate) async fn draft(
    context: RequestContext<Context>,
    body: Timed<TypedBody<Draft>>,
) -> Result<Response<Body>, Problem> {
    let body = body.0.into_inner();
    if body.max_tokens == 0 {
        return Err(Problem::found(
            Kind::BadRequest,
            "`max_tokens` must be at least 1",
        ));
    }
    let form = if body.stream {
        Form::Events
    } else {
        Form::Whole
    };
    let work = Work::Draft {
        model: Arc::from(body.model),
        prompt: body.prompt,
        max_tokens: body.max_tokens,
    };
    submit(&context, work, body.idempotent, form).await
}

/// Send an answer again from an offset, as server-sent events.
#[endpoint { method = GET, path = "/v1/requests/{id}/answer" }]
pub(crate) async fn resume(
    context: RequestContext<Context>,
    path: Path<RequestPath>,
    query: Query<ResumeQuery>,
) -> Result<Response<Body>, Problem> {
    let id = named(&context, path)?;
    let (parts, answer) = ring::bounded(PARTS);
    let command = Command::Resume {
        id: id.clone(),
        offset: query.into_inner().offset,
        parts,
    };
    // That this entry has no room says nothing of the request that is asked for.
    if push(&context, command).is_err() {
        let detail = "this entry has no room; resume through another";
        return Err(Problem::found(Kind::OutcomeUnknown, detail));
    }
    Ok(reply::response(Form::Events, headers::key(&id), answer).await)
}

/// Tell what is known of a request.
#[endpoint { method = GET, path = "/v1/requests/{id}" }]
pub(crate) async fn status(
    context: RequestContext<Context>,
    path: Path<RequestPath>,
) -> Result<HttpResponseOk<Status>, Problem> {
    let id = named(&context, path)?;
    let (reply, answer) = oneshot::channel();
    push(&context, Command::Status { id, reply })?;
    answer.await.map(HttpResponseOk).map_err(|_| gone())
}

/// Stop a request.
#[endpoint { method = DELETE, path = "/v1/requests/{id}" }]
pub(crate) async fn cancel(
    context: RequestContext<Context>,
    path: Path<RequestPath>,
) -> Result<HttpResponseOk<Status>, Problem> {
    let id = named(&context, path)?;
    let (reply, answer) = oneshot::channel();
    push(&context, Command::Cancel { id, reply })?;
    answer.await.map(HttpResponseOk).map_err(|_| gone())
}

macro_rules! call {
    ($name:ident, $method:ident) => {
        /// Pass a call on to a plain service.
        #[endpoint { method = $method, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
        pub(crate) async fn $name(
            context: RequestContext<Context>,
            path: Path<CallPath>,
            body: Timed<UntypedBody>,
        ) -> Result<Response<Body>, Problem> {
            call(&context, path.into_inner(), body.0.as_bytes()).await
        }
    };
}

call!(call_get, GET);
call!(call_put, PUT);
call!(call_post, POST);
call!(call_delete, DELETE);

async fn call(
    context: &RequestContext<Context>,
    path: CallPath,
    body: &[u8],
) -> Result<Response<Body>, Problem> {
    let mut target = format!("/{}", path.path.join("/"));
    if let Some(query) = context.request.uri().query() {
        target.push('?');
        target.push_str(query);
    }
    let work = Work::Call {
        service: Arc::from(path.service),
        method: context.request.method().as_str().to_owned(),
        path: target,
        body: body.to_vec(),
    };
    // Whether a call may be repeated is published, not the caller's to say.
    submit(context, work, false, Form::Plain).await
}

async fn submit(
    context: &RequestContext<Context>,
    work: Work,
    idempotent: bool,
    form: Form,
) -> Result<Response<Body>, Problem> {
    let headers = Headers::read(context.request.headers(), || context.context().mint())?;
    let id = headers.id.clone();
    let (parts, answer) = ring::bounded(PARTS);
    let (request, key) = request(headers, work, idempotent);
    let first = key == Key::Minted || request.attempt == Some(1);
    let command = Command::Submit {
        request: Box::new(request),
        key,
        parts,
    };
    let pushed = push(context, command);
    // Of a later attempt nobody here knows what became of the earlier ones.
    if pushed.is_err() && !first {
        let detail = "this entry has no room; try another";
        return Err(Problem::found(Kind::OutcomeUnknown, detail));
    }
    pushed?;
    Ok(reply::response(form, headers::key(&id), answer).await)
}

fn request(headers: Headers, work: Work, idempotent: bool) -> (Request, Key) {
    let request = Request {
        id: headers.id,
        attempt: headers.attempt,
        age: headers.age,
        workspace: headers.workspace,
        priority: headers.priority,
        deadline: headers.deadline,
        idempotent,
        work,
    };
    (request, headers.key)
}

/// Returns the id of the request that a path names, in the caller's own workspace.
fn named(context: &RequestContext<Context>, path: Path<RequestPath>) -> Result<RequestId, Problem> {
    let key = path.into_inner().id;
    if key.is_empty() || key.len() > MAX_ID_BYTES {
        return Err(Problem::found(Kind::BadRequest, "a key has 1 to 128 bytes"));
    }
    let workspace = headers::workspace(context.request.headers())?;
    Ok(headers::qualified(&workspace, &key))
}

fn push(context: &RequestContext<Context>, command: Command) -> Result<(), Problem> {
    // The command never left this thread, so nothing was sent: the answer is `not_run`.
    context.context().commands.push(command).map_err(|_| {
        let failure = Failure::new(Kind::Overloaded, "this entry has no room; try another");
        Problem::new(&failure, None)
    })
}

fn gone() -> Problem {
    Problem::found(Kind::Internal, "the process is stopping")
}
