//! Metrics of a run.

use hdrhistogram::Histogram;

use crate::trace::Micros;

/// Column names.
pub(crate) const HEADER: [&str; 11] = [
    "ttft50", "ttft95", "ttft99", "tbt50", "tbt95", "tbt99", "in1300%", "hit%", "imbal", "cut",
    "done",
];
/// Target for the time to the first token, in microseconds.
const TTFT_TARGET: Micros = 1_300_000;

/// Latencies and counts of one or more runs.
pub(crate) struct Score {
    pub(crate) ttft: Histogram<u64>,
    pub(crate) tbt: Histogram<u64>,
    pub(crate) prompt_tokens: u64,
    pub(crate) hit_tokens: u64,
    /// Sum and count of samples of the ratio of largest to mean backlog.
    pub(crate) imbalance: (f64, u32),
    pub(crate) cut: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

fn float(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

fn percent(part: u64, whole: u64) -> f64 {
    // Division by 1000 keeps both values within the range of `float`.
    100.0 * float(part / 1000) / float(whole / 1000).max(1.0)
}

impl Score {
    pub(crate) fn new() -> Self {
        Score {
            ttft: histogram(),
            tbt: histogram(),
            prompt_tokens: 0,
            hit_tokens: 0,
            imbalance: (0.0, 0),
            cut: 0,
        }
    }

    pub(crate) fn add(&mut self, other: &Score) {
        self.ttft += &other.ttft;
        self.tbt += &other.tbt;
        self.prompt_tokens += other.prompt_tokens;
        self.hit_tokens += other.hit_tokens;
        self.imbalance.0 += other.imbalance.0;
        self.imbalance.1 += other.imbalance.1;
        self.cut += other.cut;
    }

    /// Adds a sample of the backlogs of all live groups.
    pub(crate) fn sample(&mut self, backlogs: &[u64]) {
        let total: u64 = backlogs.iter().sum();
        let count = backlogs.len() as u64;
        if total > 0 {
            let worst = backlogs.iter().max().copied().unwrap_or(0);
            self.imbalance.0 += float(worst) * float(count) / float(total);
            self.imbalance.1 += 1;
        }
    }

    /// Returns the cells in the order of [`HEADER`], with times in milliseconds.
    pub(crate) fn cells(&self) -> Vec<String> {
        let mut cells = Vec::new();
        for times in [&self.ttft, &self.tbt] {
            for quantile in [0.5, 0.95, 0.99] {
                let micros = times.value_at_quantile(quantile);
                cells.push(format!("{:.1}", float(micros) / 1000.0));
            }
        }
        let in_time = self.ttft.count_between(0, TTFT_TARGET);
        cells.push(format!(
            "{:.1}",
            100.0 * float(in_time) / float(self.ttft.len())
        ));
        cells.push(format!(
            "{:.1}",
            percent(self.hit_tokens, self.prompt_tokens)
        ));
        let samples = f64::from(self.imbalance.1.max(1));
        cells.push(format!("{:.2}", self.imbalance.0 / samples));
        cells.push(self.cut.to_string());
        cells.push(self.ttft.len().to_string());
        cells
    }
}
