//! Streams: events passed on as they come, and gone on with after a break.
//!
//! Only whole events are passed on, so that a run that breaks off leaves no torn event, and another
//! run can go on after the last whole one. A stream that can't go on breaks off at the caller too,
//! so that it never looks complete.

use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use auburnline_gateway::event::EventId;
use auburnline_gateway::event::Splitter;
use auburnline_gateway::pace::Group;
use auburnline_http::Body as Incoming;
use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use http::Response;
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
use crate::tell::Pace;

/// A stream on its way.
struct Passage {
    exchange: Exchange,
    /// Answer of the newest send; none while the stream moves.
    body: Option<Incoming>,
    flight: Flight,
    splitter: Splitter,
    pace: Pace,
    last_at: Option<Monotonic>,
    is_over: bool,
}

/// What the upstream gave next.
enum Next {
    /// Whole events.
    Events(Bytes),
    /// The end.
    End,
    /// A break.
    Break(&'static str),
    /// The upstream turned so slow that the stream is better off elsewhere.
    Slow,
}

/// Serves a request whose answer is a stream.
pub(crate) async fn serve(mut exchange: Exchange) -> Response<Body> {
    let after = exchange.arrival.call.after;
    loop {
        let patience = exchange.left();
        match exchange.send(None, patience).await {
            Sent::Began(reply, mut flight) => {
                let headers = head::end_to_end(&reply.headers);
                let status = reply.status;
                if status.is_server_error() {
                    flight.failed();
                    if exchange.may_run_again() {
                        exchange.log_failure("the upstream failed, repeating", &flight);
                        continue;
                    }
                }
                let passage = Passage::new(exchange, reply.body, flight, after);
                return head::streamed(status, headers, passage.events());
            }
            Sent::Failed { may_repeat: true } => {
                if let Err(refusal) = exchange.readmit().await {
                    return exchange.end(&refusal);
                }
            }
            Sent::Failed { may_repeat: false } => return exchange.give_up("no send succeeded"),
            Sent::Refused(refusal) => return exchange.end(&refusal),
        }
    }
}

impl Passage {
    fn new(exchange: Exchange, body: Incoming, flight: Flight, after: Option<EventId>) -> Passage {
        Passage {
            exchange,
            body: Some(body),
            flight,
            splitter: Splitter::after(after),
            pace: Pace::default(),
            last_at: None,
            is_over: false,
        }
    }

    /// Returns the events as a body.
    fn events(self) -> head::Events {
        stream::unfold(self, |mut passage| async move {
            let frame = passage.frame().await?;
            Some((frame, passage))
        })
        .boxed_local()
    }

    /// Returns the next frame, or none after the end.
    async fn frame(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        while !self.is_over {
            match self.next().await {
                Next::Events(bytes) => return Some(Ok(Frame::data(bytes))),
                Next::End => return self.end(),
                Next::Slow => {
                    if !self.leave_rank().await {
                        self.is_over = true;
                        self.log("broken");
                        return Some(Err(Broken("no rank took the stream over")));
                    }
                }
                Next::Break(cause) => {
                    self.flight.failed();
                    self.exchange.log_failure(cause, &self.flight);
                    self.exchange.look_for_crash(&self.flight).await;
                    self.broke();
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
            let left = self.exchange.left();
            let Some(body) = &mut self.body else {
                return Next::Break("no upstream took the stream over");
            };
            let part = tokio::select! {
                part = timeout(left, body.next()) => part,
                () = self.exchange.leave_for(self.flight.target(), self.exchange.sends) => {
                    return Next::Slow;
                }
            };
            let part = match part {
                Ok(Some(Ok(part))) => part,
                Ok(Some(Err(_))) => return Next::Break("the stream broke off"),
                Ok(None) => return Next::End,
                Err(_) => return Next::Break("the time is over"),
            };
            let events = self.splitter.push(&part);
            if events.count > 0 {
                self.observe();
                self.pace.events += events.count as u64;
            }
            if !events.bytes.is_empty() {
                return Next::Events(events.bytes.into());
            }
        }
    }

    /// Learns from the time of an event.
    fn observe(&mut self) {
        let now = self.exchange.shared.now();
        let plan = &self.exchange.plan;
        match self.last_at.replace(now) {
            None => {
                let first = now.saturating_sub(plan.arrived);
                self.pace.first = first;
                histogram!("auburnline_first_event_seconds").record(first);
            }
            Some(last) => {
                let pause = now.saturating_sub(last);
                self.pace.longest_pause = self.pace.longest_pause.max(pause);
                histogram!("auburnline_pause_seconds").record(pause);
                let mut gateway = self.exchange.shared.gateway();
                gateway.observe(plan, self.flight.group(), pause, now);
            }
        }
    }

    /// Takes that the stream broke off, which may tell of its whole group.
    fn broke(&self) {
        let (group, upstream) = (self.flight.group(), self.flight.upstream());
        let now = self.exchange.shared.now();
        let mut gateway = self.exchange.shared.gateway();
        if gateway.groups.broke(group, upstream, now) {
            log::info!(target: "groups", group = &**group, upstream = &**upstream; "seems broken");
        }
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        self.is_over = true;
        self.flight.answered();
        self.exchange.clear();
        self.log("complete");
        let rest = self.splitter.rest();
        (!rest.is_empty()).then(|| Ok(Frame::data(rest.into())))
    }

    /// Goes on at another rank of the group, so that this one need not wait for its own; returns whether it could.
    async fn leave_rank(&mut self) -> bool {
        let group = self.flight.group().clone();
        self.exchange
            .log_failure("its rank turned slow, going on at another", &self.flight);
        counter!("auburnline_moved_streams_total").increment(1);
        // The upstream stops when its answer is dropped, and the group waits for it no longer.
        self.body = None;
        self.go_on(Some(&group)).await
    }

    /// Goes on at another upstream; returns whether it could.
    async fn resume(&mut self) -> bool {
        self.exchange.may_run_again() && self.go_on(None).await
    }

    /// Sends the request once more, for the events after the last whole one; returns whether another answer began.
    async fn go_on(&mut self, group: Option<&GroupId>) -> bool {
        let after = self.splitter.last();
        loop {
            let patience = self.exchange.left();
            match self.exchange.send_within(group, after, patience).await {
                Sent::Began(reply, flight) if reply.status.is_success() => {
                    self.body = Some(reply.body);
                    self.flight = flight;
                    self.splitter = Splitter::after(after);
                    counter!("auburnline_resumed_streams_total").increment(1);
                    return true;
                }
                Sent::Failed { may_repeat: true } => {}
                Sent::Began(..) | Sent::Failed { .. } | Sent::Refused(_) => return false,
            }
        }
    }

    fn log(&mut self, outcome: &'static str) {
        let gateway = self.exchange.shared.gateway();
        let pace = gateway.pace(self.flight.group());
        self.pace.mean_pass = pace.map(Group::mean_pass).unwrap_or_default();
        drop(gateway);
        let status = if outcome == "complete" { 200 } else { 0 };
        self.exchange.log_answer(status, &self.pace);
    }
}
