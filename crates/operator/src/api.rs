//! The endpoints.

use std::sync::Arc;

use auburnline_core::error::Kind;
use auburnline_duty::decisions::Filter;
use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::Body;
use dropshot::HttpResponseAccepted;
use dropshot::HttpResponseOk;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::endpoint;
use http::HeaderMap;
use http::Response;
use http::header::CONTENT_TYPE;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::failure::Failure;
use crate::shape::Configuration;
use crate::shape::Decisions;
use crate::shape::Drain;
use crate::shape::Health;
use crate::shape::Readiness;
use crate::shape::Status;
use crate::source::Source;
use crate::token::Token;

/// Title of the `OpenAPI` document.
const TITLE: &str = "auburnline operator";
/// Decisions that one answer holds unless asked for fewer.
const MAX_DECISIONS: usize = 1_000;
/// Media type of Prometheus text.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// What the endpoints share.
pub(crate) struct Context {
    pub(crate) source: Arc<dyn Source>,
    pub(crate) token: Token,
    pub(crate) max_header_bytes: usize,
}

type Request = RequestContext<Context>;

impl Context {
    fn admit(&self, headers: &HeaderMap) -> Result<(), Failure> {
        let size: usize = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        if size > self.max_header_bytes {
            return Err(Failure::new(Kind::TooLarge, "the headers are too large"));
        }
        Ok(())
    }

    fn authorize(&self, headers: &HeaderMap) -> Result<(), Failure> {
        self.admit(headers)?;
        if self.token.agrees(headers) {
            Ok(())
        } else {
            let message = "send the operators' token as Authorization: Bearer TOKEN";
            Err(Failure::new(Kind::Unauthorized, message))
        }
    }
}

/// Tell whether the process works at all; one that doesn't should be replaced.
#[endpoint { method = GET, path = "/health" }]
async fn health(request: Request) -> Result<HttpResponseOk<Health>, Failure> {
    let context = request.context();
    context.admit(request.request.headers())?;
    context.source.healthy()?;
    Ok(HttpResponseOk(Health { healthy: true }))
}

/// Tell whether the process takes new work.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(request: Request) -> Result<HttpResponseOk<Readiness>, Failure> {
    let context = request.context();
    context.admit(request.request.headers())?;
    let now = context.source.status();
    if now.leaving {
        return Err(Failure::new(Kind::Leaving, "the instance is leaving"));
    }
    if !now.ready {
        let reason = now.reason.unwrap_or_else(|| "not ready yet".to_owned());
        return Err(Failure::new(Kind::NotReady, reason));
    }
    Ok(HttpResponseOk(Readiness { ready: true }))
}

/// Return all metrics as Prometheus text.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(request: Request) -> Result<Response<Body>, Failure> {
    let context = request.context();
    context.authorize(request.request.headers())?;
    Response::builder()
        .header(CONTENT_TYPE, METRICS_TYPE)
        .body(context.source.metrics().into())
        .map_err(|error| Failure::new(Kind::Internal, error.to_string()))
}

/// Return the process at a glance.
#[endpoint { method = GET, path = "/status" }]
async fn status(request: Request) -> Result<HttpResponseOk<Status>, Failure> {
    let context = request.context();
    context.authorize(request.request.headers())?;
    Ok(HttpResponseOk(context.source.status()))
}

/// Which decisions to return.
#[derive(Deserialize, JsonSchema)]
struct Wanted {
    /// Id of the request.
    request: Option<String>,
    /// Name of the group.
    group: Option<String>,
    /// Most decisions to return, the last ones.
    most: Option<usize>,
}

/// Return the last decisions.
#[endpoint { method = GET, path = "/decisions" }]
async fn decisions(
    request: Request,
    wanted: Query<Wanted>,
) -> Result<HttpResponseOk<Decisions>, Failure> {
    let context = request.context();
    context.authorize(request.request.headers())?;
    let wanted = wanted.into_inner();
    let filter = Filter {
        request: wanted.request,
        group: wanted.group,
    };
    let most = wanted.most.unwrap_or(MAX_DECISIONS).min(MAX_DECISIONS);
    Ok(HttpResponseOk(Decisions {
        instance: context.source.status().instance,
        decisions: context.source.decisions(&filter, most),
    }))
}

/// Return the configuration in force.
#[endpoint { method = GET, path = "/configuration" }]
async fn configuration(request: Request) -> Result<HttpResponseOk<Configuration>, Failure> {
    let context = request.context();
    context.authorize(request.request.headers())?;
    Ok(HttpResponseOk(context.source.configuration()))
}

/// Return the progress of a planned stop.
#[endpoint { method = GET, path = "/drain" }]
async fn drain(request: Request) -> Result<HttpResponseOk<Drain>, Failure> {
    let context = request.context();
    context.authorize(request.request.headers())?;
    Ok(HttpResponseOk(context.source.drain()))
}

/// Start a planned stop; a second call changes nothing.
#[endpoint { method = POST, path = "/drain" }]
async fn start_drain(request: Request) -> Result<HttpResponseAccepted<Drain>, Failure> {
    let context = request.context();
    context.authorize(request.request.headers())?;
    context.source.start_drain().map(HttpResponseAccepted)
}

pub(crate) fn description() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(health)?;
    api.register(ready)?;
    api.register(metrics)?;
    api.register(status)?;
    api.register(decisions)?;
    api.register(configuration)?;
    api.register(drain)?;
    api.register(start_drain)?;
    Ok(api)
}

/// Returns the `OpenAPI` document, as committed beside this crate.
///
/// # Panics
///
/// Never: the endpoints are fixed, and a test reads the document.
#[must_use]
pub fn document() -> String {
    let api = description().expect("the endpoints don't overlap");
    let json = api
        .openapi(TITLE, semver::Version::new(0, 1, 0))
        .json()
        .expect("the document is JSON");
    format!("{json:#}\n")
}
