//! Streaming responses: events are passed on as they arrive, and a broken stream is resumed.
//!
//! Only whole events are passed on, so that an interrupted response leaves no partial event, and
//! another attempt can resume after the last whole one. A stream that cannot be resumed is aborted
//! towards the caller too, so that it never looks complete.

use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_gateway::event::EventId;
use auburnline_gateway::event::MAX_EVENT_BYTES;
use auburnline_gateway::event::Splitter;
use auburnline_gateway::pace::Group;
use auburnline_gateway::quarantine::part::Stage;
use auburnline_http::Body as Incoming;
use auburnline_http::Reply;
use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use http::Response;
use http::StatusCode;
use hyper::body::Frame;
use metrics::counter;
use metrics::histogram;
use tokio::time::timeout;

use crate::exchange::Exchange;
use crate::exchange::Sent;
use crate::flight::Flight;
use crate::head;
use crate::head::Body;
use crate::head::Broken;
use crate::memory::Buffer;
use crate::payment::Payment;
use crate::telemetry::Timing;

/// Time for another rank to begin a stream that leaves its own, which is not read meanwhile: half of what callers bear.
const MIGRATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum bytes that are read after the deadline: what came in time and waits in the socket is passed on, while bytes that are
/// always ready would never time out.
const MAX_LATE_BYTES: usize = 256 << 10;

/// Cause of the end of a stream whose event was given up.
const NO_MEMORY: &str = "no memory for an event that has not ended";

/// A stream being passed on to a caller.
struct Transfer {
    exchange: Exchange,
    status: StatusCode,
    /// Response body of the latest attempt that began.
    body: Incoming,
    flight: Flight,
    splitter: Splitter,
    /// Memory of the event that has not ended.
    buffer: Buffer,
    /// Bytes received after the deadline.
    late_bytes: usize,
    timing: Timing,
    /// Events of the latest attempt.
    run_events: u64,
    last_at: Option<Monotonic>,
    /// Whether no other rank took the stream, so that it stays where it is.
    is_settled: bool,
    is_over: bool,
}

/// Next item of the upstream's response.
enum Next {
    /// Whole events.
    Events(Bytes),
    /// The response is complete.
    End,
    /// The response was interrupted, for this reason.
    Break(&'static str),
    /// The rank has become a straggler or hangs, and the stream should migrate.
    Slow(&'static str),
}

/// Handles a request whose response is a stream.
pub(crate) async fn serve(exchange: Exchange) -> Response<Body> {
    let after = exchange.arrival.call.after;
    loop {
        let time_limit = exchange.time_left();
        match exchange.send(None, time_limit).await {
            Sent::Began(reply, mut flight) => {
                let headers = head::end_to_end(&reply.headers);
                let status = reply.status;
                if status.is_server_error() {
                    flight.failed();
                    if exchange.may_rerun("server_error") {
                        exchange.log_failure("upstream returned a server error; retrying", &flight);
                        continue;
                    }
                }
                let transfer = Transfer::new(exchange, reply, flight, after);
                return head::streamed(status, headers, transfer.events());
            }
            Sent::Failed { may_retry: true } => {
                if let Err(refusal) = exchange.wait_for_admission().await {
                    return exchange.end(&refusal);
                }
            }
            Sent::Failed { may_retry: false } => return exchange.give_up("all attempts failed"),
            Sent::Refused(refusal) => return exchange.end(&refusal),
        }
    }
}

impl Transfer {
    fn new(exchange: Exchange, reply: Reply, flight: Flight, after: Option<EventId>) -> Transfer {
        let buffer = exchange.shared.answers.buffer(None);
        Transfer {
            exchange,
            status: reply.status,
            body: reply.body,
            flight,
            splitter: Splitter::after(after),
            buffer,
            late_bytes: 0,
            timing: Timing::default(),
            run_events: 0,
            last_at: None,
            is_settled: false,
            is_over: false,
        }
    }

    /// Returns the stream of frames for the response body.
    fn events(self) -> head::Events {
        stream::unfold(self, |mut transfer| async move {
            let frame = transfer.frame().await?;
            Some((frame, transfer))
        })
        .boxed_local()
    }

    /// Returns the next frame, or `None` after the end.
    async fn frame(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        while !self.is_over {
            match self.next().await {
                Next::Events(bytes) => return Some(Ok(Frame::data(bytes))),
                Next::End => return self.end(),
                Next::Slow(cause) => self.migrate(cause).await,
                Next::Break(cause) => {
                    self.flight.failed();
                    self.exchange.log_failure(cause, &self.flight);
                    self.exchange.detect_crash(&mut self.flight).await;
                    self.record_interruption();
                    if !self.resume().await {
                        self.is_over = true;
                        self.log("broken");
                        return Some(Err(Broken(cause)));
                    }
                }
            }
        }
        None
    }

    async fn next(&mut self) -> Next {
        loop {
            if self.late_bytes > MAX_LATE_BYTES {
                return Next::Break("request deadline exceeded");
            }
            if self.splitter.buffered() > MAX_EVENT_BYTES {
                return Next::Break("event exceeds its size limit");
            }
            if !self.buffer.resize(self.splitter.buffered()) {
                return Next::Break(NO_MEMORY);
            }
            let left = self.exchange.time_left();
            let since = self.last_at.unwrap_or_default().max(self.flight.began());
            let part = tokio::select! {
                biased;
                () = self.buffer.given_up() => return Next::Break(NO_MEMORY),
                part = timeout(left, self.body.next()) => part,
                () = self.exchange.straggler_detected(self.flight.target(), Payment::AtSend), if !self.is_settled => {
                    return Next::Slow("rank became a straggler; resuming at another rank");
                }
                () = self.exchange.silence_detected(self.flight.target(), since, Payment::AtSend), if !self.is_settled => {
                    self.flight.failed();
                    return Next::Slow("rank shows nothing while its group goes on; resuming at another rank");
                }
            };
            let part = match part {
                Ok(Some(Ok(part))) => part,
                Ok(Some(Err(_))) => return Next::Break("stream interrupted before its end"),
                Ok(None) => return self.ended().await,
                Err(_) => return Next::Break("request deadline exceeded"),
            };
            if left.is_zero() {
                self.late_bytes += part.len();
            }
            let events = self.splitter.push(&part);
            if events.count > 0 {
                self.observe();
                self.timing.events += events.count as u64;
                self.run_events += events.count as u64;
                self.flight.reached(Stage::after(self.run_events));
            }
            if !events.bytes.is_empty() {
                self.buffer.record_passed_on(events.bytes.len());
                return Next::Events(events.bytes.into());
            }
        }
    }

    /// Returns whether a response whose connection has ended is complete. Without a length or chunks, the end of an upstream
    /// that crashed looks the same.
    async fn ended(&self) -> Next {
        if self.body.is_delimited() {
            Next::End
        } else if self.splitter.has_partial_event() {
            Next::Break("stream ended within an event")
        } else if self.flight.has_crashed().await {
            Next::Break("upstream crashed at the end of its stream")
        } else {
            Next::End
        }
    }

    /// Updates the stream's timing and the pass times of its group with the arrival of events.
    fn observe(&mut self) {
        let now = self.exchange.shared.now();
        let plan = &self.exchange.plan;
        match self.last_at.replace(now) {
            None => {
                let first = now.saturating_sub(plan.arrived);
                self.timing.first = first;
                histogram!("auburnline_first_event_seconds").record(first);
            }
            Some(last) => {
                let pause = now.saturating_sub(last);
                self.timing.longest_pause = self.timing.longest_pause.max(pause);
                histogram!("auburnline_pause_seconds").record(pause);
                let mut gateway = self.exchange.shared.gateway();
                gateway.observe(plan, self.flight.group(), pause, now);
            }
        }
    }

    /// Records that the stream was interrupted, which may indicate a failure of the whole group.
    fn record_interruption(&self) {
        let (group, upstream) = (self.flight.group(), self.flight.upstream());
        let now = self.exchange.shared.now();
        let mut gateway = self.exchange.shared.gateway();
        if gateway.groups.record_break(group, upstream, now) {
            log::info!(target: "groups", group = &**group, upstream = &**upstream; "streams of two ranks interrupted at once; group suspected");
        }
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        self.is_over = true;
        self.flight.answered(self.status);
        self.exchange.clear_suspicion(self.status);
        self.record_duration();
        self.log("complete");
        let rest = self.splitter.rest();
        (!rest.is_empty()).then(|| Ok(Frame::data(rest.into())))
    }

    /// Records how long the stream took, over all attempts.
    fn record_duration(&self) {
        let now = self.exchange.shared.now();
        let plan = &self.exchange.plan;
        let took = now.saturating_sub(plan.arrived);
        let mut gateway = self.exchange.shared.gateway();
        gateway.record_duration(plan, took, now);
    }

    /// Migrates the stream to another rank of its group, so that the group no longer waits for the straggler. The stream leaves
    /// its rank only once the other one has begun, and otherwise stays for good.
    async fn migrate(&mut self, cause: &'static str) {
        let group = self.flight.group().clone();
        self.exchange.log_failure(cause, &self.flight);
        let time_limit = self.exchange.time_left().min(MIGRATION_TIMEOUT);
        if self.resume_within(Some(&group), time_limit).await {
            counter!("auburnline_moved_streams_total").increment(1);
        } else {
            self.is_settled = true;
        }
    }

    /// Resumes the stream at another upstream after a failure; returns whether that succeeded.
    async fn resume(&mut self) -> bool {
        self.exchange.may_rerun("interrupted") && self.resume_within(None, Duration::MAX).await
    }

    /// Sends the request again for the events after the last whole one; returns whether a successful response began, for which
    /// each attempt has this time.
    async fn resume_within(&mut self, group: Option<&GroupId>, time_limit: Duration) -> bool {
        let after = self.splitter.last();
        loop {
            let time_limit = self.exchange.time_left().min(time_limit);
            match self.exchange.send_within(group, after, time_limit).await {
                Sent::Began(reply, flight) if reply.status.is_success() => {
                    self.body = reply.body;
                    self.is_settled = false;
                    self.flight = flight;
                    self.run_events = 0;
                    self.splitter = Splitter::after(after);
                    counter!("auburnline_resumed_streams_total").increment(1);
                    return true;
                }
                Sent::Failed { may_retry: true } => {}
                Sent::Began(..) | Sent::Failed { .. } | Sent::Refused(_) => return false,
            }
        }
    }

    fn log(&mut self, outcome: &'static str) {
        let gateway = self.exchange.shared.gateway();
        let pace = gateway.pace(self.flight.group());
        self.timing.mean_pass = pace.map(Group::mean_pass).unwrap_or_default();
        drop(gateway);
        counter!("auburnline_streams_total", "outcome" => outcome).increment(1);
        let status = if outcome == "complete" { 200 } else { 0 };
        self.exchange.log_answer(status, &self.timing);
    }
}
