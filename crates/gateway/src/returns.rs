//! Which callers came back after a refusal or a broken answer.
//!
//! Callers say how long they wait. At first all callers of a route say the same; one that comes back has less left. It has used
//! up its return, so that another refusal costs it the answer, while a new caller that is refused comes back once the wave is
//! over.

use std::collections::HashMap;
use std::time::Duration;

/// Time that a caller that comes back has lost at least: refusals tell 0.1 s and more, and clocks of callers run evenly.
const LEAST_LOST: Duration = Duration::from_millis(100);
/// Part of requests that a newer one stands for in what is known of a route: some dozens of them decide.
const NEWEST_PART: f64 = 0.02;
/// Least part of requests that have all of the longest time left. Below it callers of the route choose their times freely, and
/// nothing can be told from them.
const LEAST_FIRST: f64 = 0.15;

/// What callers of one route say.
#[derive(Clone, Copy, Debug)]
struct Said {
    longest: Duration,
    /// Part of requests that have all of it left.
    first: f64,
}

/// What callers of all routes say.
#[derive(Clone, Debug, Default)]
pub(crate) struct Returns(HashMap<String, Said>);

impl Returns {
    /// Takes how long a caller of a route waits; returns whether it most likely came back.
    pub(crate) fn see(&mut self, route: &str, patience: Duration) -> bool {
        let Some(said) = self.0.get_mut(route) else {
            let said = Said {
                longest: patience,
                first: 1.0,
            };
            self.0.insert(route.to_owned(), said);
            return false;
        };
        said.longest = said.longest.max(patience);
        let came_back = patience + LEAST_LOST <= said.longest;
        let is_first = f64::from(u8::from(!came_back));
        said.first += (is_first - said.first) * NEWEST_PART;
        came_back && said.first >= LEAST_FIRST
    }

    /// Forgets all routes: a new configuration may change them.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
