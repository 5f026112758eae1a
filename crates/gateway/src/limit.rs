//! Rate limits that upstreams name, as a gateway learns and tells them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use auburnline_core::time::Monotonic;
use auburnline_quota::Rate;
use auburnline_quota::book;
use auburnline_quota::book::Limit;
use auburnline_quota::book::Notice;
use auburnline_quota::book::Teller;

use crate::gateway::Gateway;
use crate::quarantine::StartTag;
use crate::quarantine::start_tag;
use crate::upstream::Upstream;

/// A limit that was named, changed or ended, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Upstream.
    pub upstream: Arc<Upstream>,
    /// Requests a second from all gateways together; none if the limit ended.
    pub rate: Option<Rate>,
    /// Who told it.
    pub teller: Teller,
}

impl Gateway {
    /// Returns the limit that an upstream named.
    #[must_use]
    pub fn limit(&self, upstream: &Upstream, now: Monotonic) -> Option<Limit> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.limit(start_tag(upstream), now)
    }

    /// Takes what an answer says of its upstream's limit; its request was sent at `sent`.
    pub fn take_limit(
        &mut self,
        upstream: &Arc<Upstream>,
        rate: Option<Rate>,
        sent: Monotonic,
        now: Monotonic,
    ) -> Option<News> {
        let news = self.limits.answered(start_tag(upstream), rate, sent, now)?;
        Some(News {
            upstream: Arc::clone(upstream),
            rate: news.rate,
            teller: news.teller,
        })
    }

    /// Takes what another gateway tells of limits. Upstreams that are not known here yet are left out: limits are told again and
    /// again.
    pub fn hear_limits(
        &mut self,
        notices: &[Notice],
        from: SocketAddr,
        now: Monotonic,
    ) -> Vec<News> {
        let known: HashMap<StartTag, &Arc<Upstream>> = self.pool.starts().collect();
        let is_known = |notice: &&Notice| known.contains_key(&notice.upstream);
        let notices: Vec<Notice> = notices.iter().filter(is_known).copied().collect();
        let heard = self.limits.hear(&notices, from, now);
        let news = heard.into_iter().filter_map(|news: book::News| {
            Some(News {
                upstream: Arc::clone(known.get(&news.upstream)?),
                rate: news.rate,
                teller: news.teller,
            })
        });
        news.collect()
    }

    /// Returns what to tell other gateways of limits, and forgets those of upstreams that are gone.
    pub fn limit_notices(&mut self, now: Monotonic) -> Vec<Notice> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        let known: HashMap<StartTag, _> = self.pool.starts().collect();
        self.limits
            .forget(|upstream| known.contains_key(&upstream), now);
        self.limits.notices(now)
    }
}
