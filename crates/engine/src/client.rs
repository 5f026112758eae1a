//! Client of one engine.

use std::net::SocketAddr;

use auburnline_core::id::RequestId;
use auburnline_core::id::Step;
use auburnline_core::load;
use auburnline_http::Connection;
use auburnline_http::Failure;
use auburnline_http::Timeouts;
use auburnline_http::json;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt as _;
use http::Request;
use http::header::CONTENT_TYPE;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::order::Order;
use crate::order::Outcome;
use crate::tokens::Tokens;
use crate::wire;
use crate::wire::CacheEvents;
use crate::wire::ExpertCounts;
use crate::wire::Generate;
use crate::wire::Holdings;

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct Client(auburnline_http::Client);

impl Client {
    /// Returns a client of the engine at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_timeouts(address, Timeouts::default())
    }

    /// Returns a client with other bounds.
    #[must_use]
    pub fn with_timeouts(address: SocketAddr, timeouts: Timeouts) -> Self {
        Self(auburnline_http::Client::new(address, timeouts))
    }

    /// Sends a request for tokens once, and returns their stream.
    ///
    /// # Errors
    ///
    /// Returns the failure with the fate of the request.
    pub async fn generate(&self, generate: &Generate) -> Result<Tokens, Report<Failure>> {
        let request = self.post("/v1/generate", generate)?;
        let reply = self.0.send(request, Connection::Fresh).await?;
        if !reply.status.is_success() {
            return Err(Report::new(Failure::Failed).attach(reply.status));
        }
        Ok(Tokens::new(reply.body))
    }

    /// Ends a stream; returns whether it was known and not yet over.
    ///
    /// # Errors
    ///
    /// Returns why the engine could not be told.
    pub async fn cancel(&self, id: RequestId) -> Result<bool, Report<Failure>> {
        let cancel = wire::Cancel { id };
        let cancelled: wire::Cancelled = self.exchange("/v1/cancel", &cancel).await?;
        Ok(cancelled.known)
    }

    /// Reads the load, with its age.
    ///
    /// # Errors
    ///
    /// Returns why it could not be read.
    pub async fn load(&self) -> Result<load::Report, Report<Failure>> {
        let load: wire::Load = self.get("/v1/load").await?;
        load.try_into().change_context(Failure::Malformed)
    }

    /// Reads the changes of the prefix cache after a sequence number.
    ///
    /// # Errors
    ///
    /// Returns why they could not be read.
    pub async fn cache_events(&self, after: u64) -> Result<CacheEvents, Report<Failure>> {
        self.get(&format!("/v1/cache-events?after={after}")).await
    }

    /// Reads how many tokens went to each expert after a step.
    ///
    /// # Errors
    ///
    /// Returns why they could not be read.
    pub async fn expert_counts(&self, after: Step) -> Result<ExpertCounts, Report<Failure>> {
        self.get(&format!("/v1/expert-counts?after={after}")).await
    }

    /// Reads what the engine holds.
    ///
    /// # Errors
    ///
    /// Returns why it could not be read.
    pub async fn holdings(&self) -> Result<Holdings, Report<Failure>> {
        self.get("/v1/holdings").await
    }

    /// Gives an order once.
    ///
    /// # Errors
    ///
    /// Returns the failure with the fate of the order; an order with an older fencing number is
    /// [`Failure::Refused`] with status 409.
    pub async fn order(&self, order: &Order) -> Result<Outcome, Report<Failure>> {
        self.exchange("/v1/order", order).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Report<Failure>> {
        let request = Request::get(self.0.uri(path)?)
            .body(Bytes::new().into())
            .change_context(Failure::NotSent)?;
        json(self.0.send(request, Connection::Kept).await?).await
    }

    async fn exchange<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Report<Failure>> {
        let request = self.post(path, body)?;
        json(self.0.send(request, Connection::Fresh).await?).await
    }

    fn post<B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Request<http_body_util::Full<Bytes>>, Report<Failure>> {
        let body = serde_json::to_vec(body).change_context(Failure::NotSent)?;
        Request::post(self.0.uri(path)?)
            .header(CONTENT_TYPE, "application/json")
            .body(Bytes::from(body).into())
            .change_context(Failure::NotSent)
    }
}
