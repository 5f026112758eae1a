//! What a sidecar does for a lead that fell silent while its group is held.

use auburnline_core::time::Monotonic;
use auburnline_lockstep::deputy;

use crate::engine::Engine;
use crate::sidecar::Sidecar;

impl<E: Engine> Sidecar<E> {
    /// Takes a change forward whose lead fell silent.
    pub(crate) async fn stand_in(&mut self, now: Monotonic) {
        self.deputy.acted(now);
        let Some(leader) = &self.leader else {
            return;
        };
        let (epoch, engines) = (leader.word.epoch, leader.word.engines.clone());
        let mut seen = Vec::with_capacity(engines.len());
        for engine in engines {
            let engine = self.engine.at(engine);
            match engine.report().await {
                Ok(report) if Some(&report.group) == self.group.as_ref() => {
                    seen.push((report.sight, engine));
                }
                Ok(_) => {}
                // It may be one that left; whether all ranks were seen is asked below.
                Err(failure) => {
                    let cause = failure.to_string();
                    log::debug!(target: "engine", cause = cause.as_str(); "not seen while standing in");
                }
            }
        }
        let sights: Vec<_> = seen.iter().map(|(sight, _)| sight).collect();
        let is_whole = sights
            .first()
            .is_some_and(|first| usize::from(first.size) == sights.len());
        if !is_whole {
            return;
        }
        for (rank, order) in deputy::orders(&sights) {
            let found = seen.iter().find(|(sight, _)| sight.rank == rank);
            if let Some((_, engine)) = found {
                let reply = engine.order(epoch, order, None).await;
                log::info!(target: "engine", epoch, rank, order:?, reply:?; "order while standing in");
                metrics::counter!("auburnline_stand_in_orders_total").increment(1);
            }
        }
    }
}
