//! Gateways that query this one for changes of the published state.
//!
//! A gateway that queries is sent later changes without asking again, and a configuration that it
//! asked for as soon as this gateway has it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::gateway::Gateway;
use crate::message::Datagram;
use crate::spread::Query;
use crate::spread::Revision;

/// Time after its latest query for which a gateway is sent changes without asking.
const SUBSCRIPTION_AGE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    asked: Monotonic,
    /// Revision of its configuration, while it waits for a newer one.
    awaits_after: Option<Revision>,
}

/// All gateways that recently queried this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subscribers(HashMap<SocketAddr, Subscriber>);

impl Subscribers {
    /// Adds a gateway that is to get later changes, and awaits no configuration.
    pub(crate) fn add(&mut self, gateway: SocketAddr, now: Monotonic) {
        let subscriber = Subscriber {
            asked: now,
            awaits_after: None,
        };
        self.0.insert(gateway, subscriber);
    }

    fn drop_outdated(&mut self, now: Monotonic) {
        self.0
            .retain(|_, subscriber| now.saturating_sub(subscriber.asked) < SUBSCRIPTION_AGE);
    }
}

impl Gateway {
    /// Returns the replies to the query of the gateway at `from`. Changes come first: a
    /// configuration that is asked for is one of them.
    pub fn answer_query(
        &mut self,
        query: Query,
        from: SocketAddr,
        now: Monotonic,
    ) -> Vec<Datagram> {
        let update = self.spread.requested_configuration(query).cloned();
        let awaits_after = query.configuration.filter(|_| update.is_none());
        let asked = now;
        let subscriber = Subscriber {
            asked,
            awaits_after,
        };
        self.subscribers.0.insert(from, subscriber);
        let Some(age) = self.freshness.age(now) else {
            return Vec::new();
        };
        let answer = self.spread.answer(query, age).map(Datagram::Answer);
        let update = update.map(|update| Datagram::Configuration(Box::new(update)));
        answer.into_iter().chain(update).collect()
    }

    /// Returns the changes after `since`, in as many messages as they need, and the gateways to send
    /// them to.
    pub fn changes_to_push(
        &mut self,
        mut since: Revision,
        now: Monotonic,
    ) -> (Vec<Datagram>, Vec<SocketAddr>) {
        self.subscribers.drop_outdated(now);
        let age = self.freshness.age(now).unwrap_or_default();
        let mut messages = Vec::new();
        while let Some(answer) = self.spread.changes_since(since, age) {
            let is_last = !answer.is_truncated();
            since = answer.until;
            messages.push(Datagram::Answer(answer));
            if is_last {
                break;
            }
        }
        (messages, self.subscribers.0.keys().copied().collect())
    }

    /// Returns the newest configuration, and the gateways that asked for it before it was known
    /// here.
    pub fn configuration_to_push(&mut self, now: Monotonic) -> Option<(Datagram, Vec<SocketAddr>)> {
        self.subscribers.drop_outdated(now);
        let update = self.spread.kept_configuration()?;
        let mut receivers = Vec::new();
        for (address, subscriber) in &mut self.subscribers.0 {
            if subscriber
                .awaits_after
                .is_some_and(|after| after < update.revision)
            {
                subscriber.awaits_after = None;
                receivers.push(*address);
            }
        }
        let is_awaited = !receivers.is_empty();
        is_awaited.then(|| {
            let update = Datagram::Configuration(Box::new(update.clone()));
            (update, receivers)
        })
    }
}
