//! Weighs a streamed answer by remote calls against the frames of this crate, over loopback TCP.
//!
//! Sender and receiver are threads of this process with a runtime each. One run sends tokens as fast
//! as they go and counts the processor time of both sides; the other sends one each millisecond and
//! times its way. Calls need a reply each, of which a bounded number may be outstanding; frames go
//! out up to 256 with one write, as a session writes them. `--csv` prints CSV.

mod calls;
mod frames;
#[rustfmt::skip]
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unreachable_pub,
    reason = "generated from stream.capnp"
)]
mod stream_capnp;

use std::fs;
use std::future::Future;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Rounds, of which the best counts.
const ROUNDS: usize = 5;
/// Tokens sent as fast as they go.
const FAST_TOKENS: u32 = 400_000;
/// Tokens that are timed.
const TIMED_TOKENS: u32 = 2_000;
/// Time between timed tokens.
const PAUSE: Duration = Duration::from_millis(1);
/// Tokens that are under way at most.
const WINDOW: usize = 256;
/// Longest time that is told apart, in nanoseconds.
const LONGEST: u64 = 10_000_000_000;
/// Time of one tick of the system's processor time.
const TICK: Duration = Duration::from_millis(10);

/// How many tokens to send, and the time between two.
#[derive(Clone, Copy, Debug)]
struct Plan {
    tokens: u32,
    pause: Duration,
}

/// What a receiver saw.
struct Seen {
    tokens: u64,
    ways: Histogram<u64>,
    start: Instant,
}

impl Seen {
    fn new(start: Instant) -> Seen {
        Seen {
            tokens: 0,
            ways: Histogram::new_with_max(LONGEST, 3).expect("a histogram"),
            start,
        }
    }

    /// Notes a token whose bytes are the time of its sending.
    fn note(&mut self, bytes: &[u8]) {
        self.tokens += 1;
        let sent = bytes.first_chunk().copied().map_or(0, u64::from_le_bytes);
        let way = nanos(self.start).saturating_sub(sent);
        self.ways.saturating_record(way.max(1));
    }
}

/// Returns the time since the start of the run.
fn nanos(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

/// Runs a duty on this thread.
fn block_on<T>(duty: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), duty)
}

/// Returns both ends of a connection.
fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let near = TcpStream::connect(address).expect("a connection");
    let (far, _) = listener.accept().expect("a connection");
    for end in [&near, &far] {
        end.set_nodelay(true).expect("a setting");
        end.set_nonblocking(true).expect("a setting");
    }
    (near, far)
}

/// Returns the processor time of this process.
fn processor() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let times = fields.split(' ').skip(11).take(2);
    let ticks: u32 = times.filter_map(|it| it.parse::<u32>().ok()).sum();
    TICK * ticks
}

/// Sides of one way to send.
type Side = fn(TcpStream, Plan, Instant) -> Seen;

/// Runs both sides; returns what came and the processor time that it took.
fn run(send: Side, receive: Side, plan: Plan) -> (Seen, Duration) {
    let (near, far) = pair();
    let before = processor();
    let start = Instant::now();
    let sender = thread::spawn(move || send(far, plan, start));
    let seen = receive(near, plan, start);
    assert_eq!(seen.tokens, u64::from(plan.tokens), "all tokens come");
    sender.join().expect("a sender");
    (seen, processor().saturating_sub(before))
}

fn main() {
    let csv = std::env::args().any(|argument| argument == "--csv");
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("# load average {}", load.split(' ').next().unwrap_or("?"));
    let head = ["way", "tokens_a_core_second", "p50_us", "p99_us"];
    line(csv, &head.map(str::to_owned));
    let ways: [(&str, Side, Side); 2] = [
        ("calls", calls::send, calls::receive),
        ("frames", frames::send, frames::receive),
    ];
    for (name, send, receive) in ways {
        let fast = Plan {
            tokens: FAST_TOKENS,
            pause: Duration::ZERO,
        };
        let timed = Plan {
            tokens: TIMED_TOKENS,
            pause: PAUSE,
        };
        let rates = (0..ROUNDS).map(|_| {
            let (_, took) = run(send, receive, fast);
            f64::from(FAST_TOKENS) / took.as_secs_f64()
        });
        let rate = rates.fold(0.0, f64::max);
        let runs = (0..ROUNDS).map(|_| run(send, receive, timed).0.ways);
        let best = runs.min_by_key(|ways| ways.value_at_quantile(0.99));
        let best = best.expect("a round");
        let micros = |quantile| Duration::from_nanos(best.value_at_quantile(quantile)).as_micros();
        line(
            csv,
            &[
                name.to_owned(),
                format!("{rate:.0}"),
                micros(0.5).to_string(),
                micros(0.99).to_string(),
            ],
        );
    }
}

fn line(csv: bool, cells: &[String; 4]) {
    if csv {
        println!("{}", cells.join(","));
    } else {
        let [name, rate, half, most] = cells;
        println!("{name:>8} {rate:>22} {half:>8} {most:>8}");
    }
}
