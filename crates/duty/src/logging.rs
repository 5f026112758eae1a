//! Structured logs: one line a record, `key=value` throughout.
//!
//! A line reads `time=… level=… target=… msg=…` and then the record's own pairs in their order. The
//! duties only format and hand over; a thread of its own writes, joined by a bounded ring, so that a
//! reader of the log that stalls can't stall a duty. Lines that find the ring full, or that pass the
//! bound on the lines of a second, are dropped and counted, and the count is written with the next line that gets through. A process calls
//! `log::logger().flush()` before it ends; that waits for the lines on their way, within a bound.
//!
//! Decision code without a logger prints its decision as pairs (`pool=p group=g`); a record passes that
//! text on as its pair [`DETAIL_KEY`], and the pairs in it become the line's own.
//!
//! Records with the target [`decisions::TARGET`] go into a [`Ring`] as well, and are counted by their
//! message; these messages are therefore fixed words of the code, and what varies stands in the pairs.

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

/// Environment variable that holds the filter, in the form that `env_logger` reads.
pub const FILTER_VARIABLE: &str = "AUBURNLINE_LOG";
/// Key of a pair whose value is itself a text of pairs.
pub const DETAIL_KEY: &str = "detail";
/// Filter if the variable is not set.
pub const DEFAULT_FILTER: &str = "info,dropshot=warn";
/// Counter of decisions, by what was decided.
pub const DECISIONS_METRIC: &str = "auburnline_decisions_total";
/// Counter of warnings and errors, by level and target.
pub const TROUBLES_METRIC: &str = "auburnline_log_troubles_total";
/// Counter of lines that were dropped.
pub const DROPPED_METRIC: &str = "auburnline_log_dropped_total";
/// Lines that wait for the writing thread.
const WAITING_LINES: usize = 8_192;
/// Lines of a second that are written at most: several times what a busy process writes, and little enough for a log reader
/// of a fleet.
pub const LINES_PER_SECOND: u32 = 4_000;
/// Times that a flush looks whether all lines are written.
const FLUSH_CHECKS: u32 = 100;
/// Time between two such looks.
const FLUSH_PAUSE: Duration = Duration::from_millis(10);

/// Starts logging to standard error and returns the ring of the last `capacity` decisions.
///
/// # Errors
///
/// Returns an error if a logger is installed already, or the thread can't start.
pub fn start(capacity: usize) -> io::Result<Arc<Ring>> {
    start_on(capacity, io::stderr())
}

/// Starts logging to `out` and returns the ring of the last `capacity` decisions.
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

/// Returns the logger that passes `slog` records on, as `dropshot` asks for.
pub fn bridge() -> slog::Logger {
    slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!())
}

/// Logger that formats records, and keeps the decisions among them.
pub struct Logger {
    lines: env_logger::Logger,
    ring: Arc<Ring>,
    counts: Arc<Counts>,
}

impl Logger {
    /// Returns a logger that writes what `filter` takes to `sink`, one write a line.
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

    /// Makes this the process's logger.
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
            thread::sleep(FLUSH_PAUSE);
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

/// Returns the pairs of a text that holds nothing else.
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

/// Adds ` key=value`; a value that could be misread is quoted and escaped.
fn push_pair(line: &mut String, key: &str, value: &str) {
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    let _ = if !value.is_empty() && value.chars().all(plain) {
        write!(line, " {key}={value}")
    } else {
        write!(line, " {key}={value:?}")
    };
}

/// Counts that both ends of the ring share.
#[derive(Default)]
struct Counts {
    /// Lines handed over and not yet written.
    waiting: AtomicUsize,
    /// Lines dropped and not yet told.
    dropped: AtomicU64,
}

/// Lines that may still be written in this second.
#[derive(Debug)]
pub struct Allowance {
    began: Instant,
    left: u32,
}

impl Allowance {
    /// Returns the allowance of the second that begins at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Allowance {
        Allowance {
            began: now,
            left: LINES_PER_SECOND,
        }
    }

    /// Takes a line out; returns whether one was left.
    pub fn take(&mut self, now: Instant) -> bool {
        if now.duration_since(self.began) >= Duration::from_secs(1) {
            *self = Allowance::new(now);
        }
        let is_left = self.left > 0;
        self.left = self.left.saturating_sub(1);
        is_left
    }
}

/// Sending end of the ring to the writing thread.
struct Sink {
    allowance: Allowance,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

/// Receiving end of the ring.
struct Lines {
    lines: Receiver<Vec<u8>>,
    counts: Arc<Counts>,
}

fn sink() -> (Sink, Lines) {
    let (sender, receiver) = sync_channel(WAITING_LINES);
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
        // Counted before it is handed over, so that the count never falls below the truth.
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

/// Writes until the logger is gone; a failed write loses its line only.
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
