//! What a rehearsal found.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use auburnline_core::error::Fate;
use auburnline_history::checker::Summary;

use crate::rehearsal::fault::Kind;

/// Time after a fault in which what ends badly is still counted with it, in microseconds.
const AFTER: u64 = 3_000_000;
/// Most violations that are printed.
const PRINTED: usize = 20;

/// Time in which a fault stood, in microseconds of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its kind.
    pub kind: Kind,
    /// When it began.
    pub from: u64,
    /// When it was healed.
    pub to: u64,
}

/// How a request under one key ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Whether it may run twice.
    pub idempotent: bool,
    /// When it was first sent, in microseconds of the run.
    pub from: u64,
    /// When it ended.
    pub to: u64,
    /// What its first attempt told.
    pub first: Fate,
    /// What its last attempt told.
    pub last: Fate,
}

/// Counts of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Counts of the history.
    pub summary: Summary,
    /// Length of the run.
    pub seconds: f64,
    /// Faults.
    pub spans: Vec<Span>,
    /// Requests.
    pub ends: Vec<End>,
    /// Broken promises; none is the only good result.
    pub violations: Vec<String>,
    /// What is known of the requests that they concern.
    pub trail: Vec<String>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: usize,
    first_not_run: usize,
    first_unknown: usize,
    last_not_run: usize,
    last_unknown: usize,
}

impl Tally {
    fn add(&mut self, end: &End) {
        self.requests += 1;
        self.first_not_run += usize::from(end.first == Fate::NotRun);
        self.first_unknown += usize::from(end.first == Fate::Unknown);
        self.last_not_run += usize::from(end.last == Fate::NotRun);
        self.last_unknown += usize::from(end.last == Fate::Unknown);
    }

    fn write(&self, f: &mut Formatter<'_>, name: &str, faults: usize) -> std::fmt::Result {
        writeln!(
            f,
            "{name:<18} {faults:>7} {:>9} {:>14} {:>14} {:>12} {:>12}",
            self.requests,
            self.first_not_run,
            self.first_unknown,
            self.last_not_run,
            self.last_unknown,
        )
    }
}

impl Report {
    /// Returns how many non-idempotent requests ended unknown after all attempts, and how many
    /// there were.
    #[must_use]
    pub fn unknown(&self) -> (usize, usize) {
        let all = self.tally(|_| true);
        (all.last_unknown, all.requests)
    }

    fn tally(&self, wanted: impl Fn(&End) -> bool) -> Tally {
        let mut tally = Tally::default();
        let once = self.ends.iter().filter(|end| !end.idempotent);
        for end in once.filter(|end| wanted(end)) {
            tally.add(end);
        }
        tally
    }

    fn by_kind(&self) -> BTreeMap<Kind, Vec<Span>> {
        let mut kinds: BTreeMap<Kind, Vec<Span>> = BTreeMap::new();
        for span in &self.spans {
            kinds.entry(span.kind).or_default().push(*span);
        }
        kinds
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Report { seed, seconds, .. } = self;
        let requests = self.ends.len();
        writeln!(f, "seed {seed}, {requests} requests in {seconds:.0} s")?;
        writeln!(f, "{:?}", self.summary)?;
        writeln!(f, "non-idempotent requests by faults that stood meanwhile:")?;
        writeln!(
            f,
            "{:<18} {:>7} {:>9} {:>14} {:>14} {:>12} {:>12}",
            "fault",
            "faults",
            "requests",
            "first not_run",
            "first unknown",
            "end not_run",
            "end unknown"
        )?;
        for (kind, spans) in self.by_kind() {
            let during = |end: &End| {
                spans
                    .iter()
                    .any(|it| it.from <= end.to && end.from <= it.to + AFTER)
            };
            let tally = self.tally(during);
            tally.write(f, &format!("{kind:?}"), spans.len())?;
        }
        self.tally(|_| true).write(f, "all", self.spans.len())?;
        writeln!(f, "violations: {}", self.violations.len())?;
        for violation in self.violations.iter().take(PRINTED) {
            writeln!(f, "  {violation}")?;
        }
        for line in &self.trail {
            writeln!(f, "  {line}")?;
        }
        Ok(())
    }
}
