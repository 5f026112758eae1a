//! The HTTP server towards callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use auburnline_core::hash;
use auburnline_core::id::Incarnation;
use auburnline_duty::ring;
use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use slog::Drain as _;
use slog::Logger;
use slog::o;

use crate::api;
use crate::command::Command;
use crate::socket;

/// Title of the `OpenAPI` document.
const TITLE: &str = "auburnline for callers";

/// What handlers share.
pub struct Context {
    pub(crate) commands: ring::Sender<Command>,
    incarnation: Incarnation,
    minted: AtomicU64,
}

impl Context {
    /// Makes an idempotency key that no other process or caller makes.
    pub(crate) fn mint(&self) -> Arc<str> {
        let number = self.minted.fetch_add(1, Ordering::Relaxed);
        let mixed = hash::stable(self.incarnation, &number.to_le_bytes());
        Arc::from(format!(
            "m-{:016x}-{number:x}-{mixed:016x}",
            self.incarnation
        ))
    }
}

/// What the server needs to know.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Address to bind.
    pub address: SocketAddr,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Number drawn at the start of the process.
    pub incarnation: Incarnation,
}

/// A running server.
pub struct Server(HttpServer<Context>);

impl Server {
    /// Starts to serve on the current runtime.
    ///
    /// # Errors
    ///
    /// A text that says why the address can't be bound or the server can't be built.
    pub fn start(config: Config, commands: ring::Sender<Command>) -> Result<Server, String> {
        let context = Context {
            commands,
            incarnation: config.incarnation,
            minted: AtomicU64::new(0),
        };
        let description = description().map_err(|error| error.to_string())?;
        let log = Logger::root(slog_stdlog::StdLog.fuse(), o!());
        let settings = ConfigDropshot {
            bind_address: config.address,
            default_request_body_max_bytes: config.max_body_bytes,
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let builder = ServerBuilder::new(description, context, log).config(settings);
        let server = builder.start().map_err(|error| error.to_string())?;
        if let Err(error) = socket::send_at_once(&server) {
            // Answers are right all the same, only later.
            log::warn!(target: "caller", error:% = error; "tokens may wait for acknowledgements");
        }
        if let Err(error) = socket::bound_receiving(&server) {
            log::warn!(target: "caller", error:% = error; "connections may take more memory");
        }
        Ok(Server(server))
    }

    /// Returns whether connections to come send each token at once.
    #[must_use]
    pub fn sends_at_once(&self) -> bool {
        socket::sends_at_once(&self.0).unwrap_or(false)
    }

    /// Returns the address that was bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr()
    }

    /// Stops taking connections and waits for answers under way.
    pub async fn close(self) {
        if let Err(error) = self.0.close().await {
            log::warn!(target: "caller", error:% = error; "server did not close cleanly");
        }
    }
}

/// Returns the `OpenAPI` document of all published endpoints.
///
/// # Panics
///
/// If two endpoints clash, which the tests exclude.
#[must_use]
pub fn document() -> String {
    let api = description().expect("the endpoints don't clash");
    let definition = api.openapi(TITLE, semver::Version::new(0, 1, 0));
    let json = definition.json().expect("the document is JSON");
    format!("{json:#}\n")
}

/// Returns the description of all endpoints.
///
/// # Errors
///
/// The library's error if two endpoints clash.
pub fn description() -> Result<ApiDescription<Context>, ApiDescriptionRegisterError> {
    let mut description = ApiDescription::new();
    description.register(api::discover)?;
    description.register(api::draft)?;
    description.register(api::resume)?;
    description.register(api::status)?;
    description.register(api::cancel)?;
    description.register(api::call_get)?;
    description.register(api::call_put)?;
    description.register(api::call_post)?;
    description.register(api::call_delete)?;
    Ok(description)
}
