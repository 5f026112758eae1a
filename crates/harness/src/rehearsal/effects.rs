//! Effects at the stand-ins as lines of the history.

use std::collections::BTreeMap;

use auburnline_history::record;
use auburnline_history::record::Line;
use auburnline_history::record::Record;
use auburnline_standin::effects::Effect;
use auburnline_standin::effects::Event;

use crate::rehearsal::work::Work;

/// Returns the lines of effects; requests that nobody sent have a digest that fits no answer.
///
/// Stand-ins keep no time; no check of effects depends on theirs.
pub(crate) fn lines(effects: &[(String, Effect)], works: &BTreeMap<String, Work>) -> Vec<Line> {
    let started = effects
        .iter()
        .filter(|(_, effect)| effect.event == Event::Started);
    let line = |(upstream, effect): &(String, Effect)| {
        let work = works.get(&*effect.id);
        let digest = work.map(|work| work.digest(&effect.id, effect.sequence));
        let record = Record::Effect(record::Effect {
            id: effect.id.clone(),
            attempt: None,
            upstream: upstream.as_str().into(),
            digest: digest.unwrap_or_default(),
        });
        Line { at: 0, record }
    };
    started.map(line).collect()
}
