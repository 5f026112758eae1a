//! Measures `auburnctl status` over many processes, some of them silent.
//!
//! The processes are servers on threads of this one; the silent ones take connections and say
//! nothing. `--csv` prints CSV.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Instant;

use auburnline_duty::decisions::Filter;
use auburnline_operator::Failure;
use auburnline_operator::Options;
use auburnline_operator::Server;
use auburnline_operator::Source;
use auburnline_operator::shape;

/// Token of all processes.
const TOKEN: &str = "0123456789abcdef";
/// Processes that answer, and processes that are silent.
const SIZES: [(usize, usize); 6] = [(16, 0), (64, 0), (128, 0), (256, 0), (128, 32), (128, 128)];
/// Groups that each process tells of.
const GROUPS: usize = 90;

struct Fixed(usize);

impl Source for Fixed {
    fn status(&self) -> shape::Status {
        let group = |number: usize| shape::Group {
            group: format!("group-{number}"),
            pool: "drafts".to_owned(),
            ..shape::Group::default()
        };
        shape::Status {
            instance: format!("entry-{}", self.0),
            groups: (0..GROUPS).map(group).collect(),
            ..shape::Status::default()
        }
    }

    fn decisions(&self, _: &Filter, _: usize) -> Vec<shape::Decision> {
        Vec::new()
    }

    fn configuration(&self) -> shape::Configuration {
        shape::Configuration::default()
    }

    fn drain(&self) -> shape::Drain {
        shape::Drain::default()
    }

    fn start_drain(&self) -> Result<shape::Drain, Failure> {
        Ok(self.drain())
    }

    fn metrics(&self) -> String {
        String::new()
    }
}

fn server(number: usize) -> Server {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let source = Arc::new(Fixed(number));
    let server = Options::new(address, TOKEN).start(source, log);
    server.expect("a server")
}

fn listener() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).expect("an address")
}

/// Returns the milliseconds of one call and the bytes of its table.
fn measure(servers: &[Server], silent: &[TcpListener]) -> (f64, usize) {
    let answering = servers.iter().map(Server::address);
    let listening = silent.iter().filter_map(|silent| silent.local_addr().ok());
    let at: Vec<String> = answering
        .chain(listening)
        .map(|address| address.to_string())
        .collect();
    let at = at.join(",");
    let arguments = ["status", "--at", &at, "--token", TOKEN];
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let start = Instant::now();
    auburnline_ctl::run(&arguments, &mut out, &mut notes);
    (start.elapsed().as_secs_f64() * 1e3, out.len())
}

fn main() {
    let csv = std::env::args().any(|argument| argument == "--csv");
    if csv {
        println!("answering,silent,milliseconds,bytes");
    } else {
        println!("answering silent        ms    bytes");
    }
    for (answering, quiet) in SIZES {
        let servers: Vec<Server> = (0..answering).map(server).collect();
        let silent: Vec<TcpListener> = (0..quiet).map(|_| listener()).collect();
        let (time, bytes) = measure(&servers, &silent);
        if csv {
            println!("{answering},{quiet},{time:.1},{bytes}");
        } else {
            println!("{answering:>9} {quiet:>6} {time:>9.1} {bytes:>8}");
        }
    }
}
