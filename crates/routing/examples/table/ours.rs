//! The router of this crate as a policy, complete or with a part switched off.

use std::collections::HashMap;
use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use auburnline_core::load::Report;
use auburnline_core::time::Monotonic;
use auburnline_routing::Config;
use auburnline_routing::Event;
use auburnline_routing::Member;
use auburnline_routing::Query;
use auburnline_routing::Router;
use auburnline_routing::Ticket;
use rand_chacha::ChaCha8Rng;

use crate::policy::Policy;
use crate::policy::group_id;
use crate::scenario::DOMAINS;

/// Variant of the router for the ablation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Variant {
    Full,
    NoRing,
    NoBound,
    OneDraw,
}

impl Variant {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Variant::Full => "ours",
            Variant::NoRing => "ours-no-ring",
            Variant::NoBound => "ours-no-bound",
            Variant::OneDraw => "ours-1-draw",
        }
    }
}

/// The router of one entry, with the tickets of its requests.
pub(crate) struct Ours {
    router: Router,
    tickets: HashMap<usize, Ticket>,
}

fn domain(number: usize) -> FailureDomainId {
    format!("domain-{}", number % DOMAINS).into()
}

impl Ours {
    pub(crate) fn new(variant: Variant, groups: usize, entry: usize) -> Self {
        let builder = Config::builder(domain(entry));
        let builder = match variant {
            Variant::Full => builder,
            Variant::NoRing => builder.ring_hit_percent(0),
            Variant::NoBound => builder.load_bound(1e9),
            Variant::OneDraw => builder.random_choices(1),
        };
        let mut router = Router::new(builder.build());
        for number in 0..groups {
            let member = Member {
                pool: "drafts".into(),
                model: Some("model".into()),
                failure_domain: domain(number),
            };
            router.insert(group_id(number), member);
            router.set_session_up(&group_id(number), true);
        }
        Ours {
            router,
            tickets: HashMap::new(),
        }
    }
}

impl Policy for Ours {
    fn choose(
        &mut self,
        number: usize,
        query: &Query,
        now: Monotonic,
        rng: &mut ChaCha8Rng,
    ) -> usize {
        let decision = self.router.route(query, now, rng);
        let group = decision.group().expect("some group is live");
        if let Some(ticket) = self.router.record_sent(group, query, now) {
            self.tickets.insert(number, ticket);
        }
        let digits = group.trim_start_matches("group-");
        digits.parse().expect("a group's number")
    }

    fn report(&mut self, group: usize, report: Report, now: Monotonic) {
        self.router.report(&group_id(group), report, now);
    }

    fn finished(&mut self, number: usize) {
        if let Some(ticket) = self.tickets.remove(&number) {
            self.router.record_finished(ticket);
        }
    }

    fn cache_event(&mut self, group: usize, event: Event, age: Duration, now: Monotonic) {
        self.router.cache_event(&group_id(group), event, age, now);
    }

    fn lost(&mut self, group: usize) {
        self.router.set_session_up(&group_id(group), false);
    }
}
