//! Structured logs: one line of `key=value` pairs per record.
//!
//! A line has the form `time=… level=… target=… msg=…`, followed by the record's own pairs in their
//! order. The calling thread only formats the line and queues it in a bounded channel; a separate
//! thread writes, so that a log reader that stalls can't block a worker. Lines that find the channel
//! full, or that exceed the rate limit, are dropped and counted, and the count is written ahead of the
//! next line. A process calls `log::logger().flush()` before it exits, which waits for the queued lines
//! for a bounded time.
//!
//! Decision code has no logger and formats its decision as pairs (`pool=p group=g`). A record carries
//! that text as the value of [`DETAIL_KEY`], and its pairs are merged into the line.
//!
//! Records with the target [`decisions::TARGET`] are also stored in a [`Ring`] and counted by message.
//! Since the message is a metric label, it is a constant, and all variable data is in the pairs.

use std::fmt::Write as _;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use env_logger::Target;
use env_logger::fmt::Formatter;
use log::Level;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::SetLoggerError;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use metrics::counter;
use slog::Drain as _;

use crate::decisions;
use crate::decisions::Field;
use crate::decisions::Ring;

/// Environment variable with the filter, in the syntax of `env_logger`.
pub const FILTER_VARIABLE: &str = "AUBURNLINE_LOG";
/// Key of a pair whose value is a list of pairs, to be merged into the line.
pub const DETAIL_KEY: &str = "detail";
/// Filter used if [`FILTER_VARIABLE`] is not set.
pub const DEFAULT_FILTER: &str = "info,dropshot=warn";
/// Counter of decisions, by message.
pub const DECISIONS_METRIC: &str = "auburnline_decisions_total";
/// Counter of warnings and errors, by level and target.
pub const TROUBLES_METRIC: &str = "auburnline_log_troubles_total";
/// Counter of dropped lines.
pub const DROPPED_METRIC: &str = "auburnline_log_dropped_total";
/// Capacity of the channel to the writer thread.
const QUEUE_CAPACITY: usize = 8_192;
/// Largest number of lines written per second: several times the output of a busy process, and low
/// enough for a collector that reads the logs of a fleet.
pub const LINES_PER_SECOND: u32 = 4_000;
/// Number of times that a flush checks whether all lines are written.
const FLUSH_CHECKS: u32 = 100;
/// Interval between these checks.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Starts logging to standard error; returns the ring that stores the last `capacity` decisions.
///
/// # Errors
///
/// Returns an error if a logger is installed already, or the thread can't start.
pub fn start(capacity: usize) -> io::Result<Arc<Ring>> {
    start_on(capacity, io::stderr())
}

/// Starts logging to `out`; returns the ring that stores the last `capacity` decisions.
///
/// # Errors
///
/// Returns an error if a logger is installed already, or the thread can't start.
pub fn start_on(capacity: usize, out: impl Write + Send + 'static) -> io::Result<Arc<Ring>> {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| DEFAULT_FILTER.to_owned());
    let (sink, lines) = sink();
    let waiting = Arc::clone(&sink.counts);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_all(&lines, out))?;
    let ring = Arc::new(Ring::new(capacity));
    let mut logger = Logger::new(&filter, Box::new(sink), Arc::clone(&ring));
    logger.counts = waiting;
    logger.install().map_err(io::Error::other)?;
    Ok(ring)
}

/// Returns a logger that forwards `slog` records to `log`, as `dropshot` requires.
pub fn bridge() -> slog::Logger {
    slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!())
}

/// Logger that formats records and stores those of decisions.
pub struct Logger {
    lines: env_logger::Logger,
    ring: Arc<Ring>,
    counts: Arc<Counts>,
}

impl Logger {
    /// Creates a logger that writes the records matching `filter` to `sink`, one write per line.
    #[must_use]
    pub fn new(filter: &str, sink: Box<dyn Write + Send>, ring: Arc<Ring>) -> Logger {
        let lines = env_logger::Builder::new()
            .parse_filters(filter)
            .format(format)
            .target(Target::Pipe(sink))
            .build();
        Logger {
            lines,
            ring,
            counts: Arc::default(),
        }
    }

    /// Installs this as the logger of the process.
    fn install(self) -> Result<(), SetLoggerError> {
        let level = self.lines.filter().max(LevelFilter::Info);
        log::set_boxed_logger(Box::new(self))?;
        log::set_max_level(level);
        Ok(())
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == decisions::TARGET || self.lines.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if record.target() == decisions::TARGET {
            let message = record.args().to_string();
            counter!(DECISIONS_METRIC, "decision" => message.clone()).increment(1);
            self.ring.push(message, fields(record));
        } else if record.level() <= Level::Warn {
            let labels = [
                ("level", record.level().as_str().to_lowercase()),
                ("target", record.target().to_owned()),
            ];
            counter!(TROUBLES_METRIC, &labels).increment(1);
        }
        self.lines.log(record);
    }

    fn flush(&self) {
        for _ in 0..FLUSH_CHECKS {
            if self.counts.waiting.load(Ordering::Acquire) == 0 {
                return;
            }
            thread::sleep(FLUSH_CHECK_INTERVAL);
        }
    }
}

struct Collector(Vec<Field>);

impl<'kvs> VisitSource<'kvs> for Collector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let (key, value) = (key.to_string(), value.to_string());
        match pairs(&value) {
            Some(pairs) if key == DETAIL_KEY => self.0.extend(pairs),
            _ => self.0.push((key, value)),
        }
        Ok(())
    }
}

/// Parses a text of space-separated pairs; `None` if it contains anything else.
fn pairs(text: &str) -> Option<Vec<Field>> {
    text.split(' ')
        .map(|pair| {
            let (key, value) = pair.split_once('=')?;
            Some((key.to_owned(), value.to_owned()))
        })
        .collect()
}

fn fields(record: &Record<'_>) -> Vec<Field> {
    let mut collector = Collector(Vec::new());
    // The collector never fails.
    let _ = record.key_values().visit(&mut collector);
    collector.0
}

fn format(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut line = format!("time={}", out.timestamp_millis());
    push_pair(&mut line, "level", &record.level().as_str().to_lowercase());
    push_pair(&mut line, "target", record.target());
    push_pair(&mut line, "msg", &record.args().to_string());
    for (key, value) in fields(record) {
        push_pair(&mut line, &key, &value);
    }
    line.push('\n');
    out.write_all(line.as_bytes())
}

/// Appends ` key=value`; an ambiguous value is quoted and escaped.
fn push_pair(line: &mut String, key: &str, value: &str) {
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    let _ = if !value.is_empty() && value.chars().all(plain) {
        write!(line, " {key}={value}")
    } else {
        write!(line, " {key}={value:?}")
    };
}

/// Counts shared by both ends of the channel.
#[derive(Default)]
struct Counts {
    /// Lines queued and not yet written.
    waiting: AtomicUsize,
    /// Lines dropped and not yet reported in the log.
    dropped: AtomicU64,
}

/// Rate limit: the lines that may still be written in the current window of one second.
#[derive(Debug)]
pub struct Allowance {
    window_start: Instant,
    left: u32,
}

impl Allowance {
    /// Returns the full allowance for a window that begins at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Allowance {
        Allowance {
            window_start: now,
            left: LINES_PER_SECOND,
        }
    }

    /// Uses up one line; returns whether one was left. Opens a new window if the last has passed.
    pub fn take(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            *self = Allowance::new(now);
        }
        let is_left = self.left > 0;
        self.left = self.left.saturating_sub(1);
        is_left
    }
}

/// Sending end of the channel to the writer thread.
struct Sink {
    allowance: Allowance,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

/// Receiving end of the channel.
struct Lines {
    lines: Receiver<Vec<u8>>,
    counts: Arc<Counts>,
}

fn sink() -> (Sink, Lines) {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let counts = Arc::<Counts>::default();
    let sink = Sink {
        allowance: Allowance::new(Instant::now()),
        lines: sender,
        counts: Arc::clone(&counts),
    };
    let lines = Lines {
        lines: receiver,
        counts,
    };
    (sink, lines)
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Counted before sending, so that the count is never lower than the number of queued lines.
        self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        let is_allowed = self.allowance.take(Instant::now());
        if !is_allowed || self.lines.try_send(line.to_vec()).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            counter!(DROPPED_METRIC).increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes until the logger is dropped; a failed write loses only its own line.
fn write_all(lines: &Lines, mut out: impl Write) {
    while let Ok(line) = lines.lines.recv() {
        let dropped = lines.counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(out, "level=warn target=log msg=dropped lines={dropped}");
        }
        let _ = out.write_all(&line);
        lines.counts.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
