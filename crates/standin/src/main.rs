//! Command line of the stand-ins.

use std::env;
use std::io;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use auburnline_standin::engine;
use auburnline_standin::engine::Engine;
use auburnline_standin::platform::Platform;
use auburnline_standin::relay::Relay;
use auburnline_standin::server::Handle;
use auburnline_standin::service;
use auburnline_standin::service::Service;
use auburnline_standin::weights;
use auburnline_standin::weights::Weights;
use getopts::Matches;
use getopts::Options;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit status after a mistake in the arguments.
const USAGE: u8 = 2;
/// Head of the help.
const BRIEF: &str = "Usage: auburnline-standin engine|service|platform|weights|relay [options]";

/// A running stand-in of any kind.
enum Running {
    One(Handle),
    Relay(Relay),
}

/// Why a stand-in did not start.
enum Error {
    Usage(String),
    Io(io::Error),
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Io(error)
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Error::Usage(error)) => {
            eprintln!("{error}");
            ExitCode::from(USAGE)
        }
        Err(Error::Io(error)) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &[String]) -> Result<(), Error> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|fail| Error::Usage(fail.to_string()))?;
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        return Ok(());
    }
    if matches.opt_present("version") {
        println!("auburnline-standin {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let running = start(&matches)?;
    let mut out = io::stdout();
    match &running {
        Running::One(handle) => writeln!(out, "listening {}", handle.address())?,
        Running::Relay(relay) => {
            writeln!(out, "listening {}", relay.address())?;
            writeln!(out, "control {}", relay.control())?;
        }
    }
    out.flush()?;
    wait()?;
    match running {
        Running::One(handle) => handle.stop(),
        Running::Relay(relay) => relay.stop(),
    }
    Ok(())
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optflag("V", "version", "print the version")
        .optopt("l", "listen", "address to listen on (127.0.0.1:0)", "ADDR")
        .optopt("", "ranks", "engine: ranks on this instance (4)", "N")
        .optopt("", "first-rank", "engine: number of the first (0)", "N")
        .optopt("", "group-ranks", "engine: ranks of the group", "N")
        .optmulti(
            "",
            "follower",
            "engine: instance with further ranks of the group",
            "ADDR",
        )
        .optopt("", "experts", "engine: experts of a layer (16)", "N")
        .optopt("", "layers", "engine: layers (2)", "N")
        .optopt("", "places", "engine: places of a rank in a layer (5)", "N")
        .optopt("", "step-us", "engine: time of a step (5000)", "N")
        .optopt("", "max-batch", "engine: requests in a batch (64)", "N")
        .optopt("", "cache-blocks", "engine: prefix cache (4096)", "N")
        .optopt("", "load-ms", "engine: time to load weights (50)", "N")
        .optopt("", "lag-ms", "engine: lag of load and events (200)", "N")
        .optopt("", "seed", "engine: seed of noise and gaps (1)", "N")
        .optflag("", "ignores-fence", "engine: takes orders of any fence")
        .optmulti(
            "",
            "model",
            "engine: loaded from the start",
            "MODEL:VERSION",
        )
        .optopt("", "time-ms", "service: time of a call (0)", "N")
        .optopt("", "rate", "weights: bytes a second (268435456)", "N")
        .optopt("", "to", "relay: address to pass on to", "ADDR")
        .optopt("", "control", "relay: address of the control", "ADDR");
    options
}

fn start(matches: &Matches) -> Result<Running, Error> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listen = value(matches, "listen", any)?;
    let [kind] = matches.free.as_slice() else {
        return Err(Error::Usage(BRIEF.to_owned()));
    };
    let handle = match kind.as_str() {
        "engine" => Engine::start(engine_config(matches, listen)?)?,
        "service" => Service::start(service::Config {
            listen,
            time: Duration::from_millis(value(matches, "time-ms", 0)?),
        })?,
        "platform" => Platform::start(listen)?,
        "weights" => Weights::start(weights::Config {
            listen,
            rate: value(matches, "rate", weights::Config::default().rate)?,
        })?,
        "relay" => {
            let to = matches
                .opt_get("to")
                .ok()
                .flatten()
                .ok_or_else(|| Error::Usage("--to: no address".to_owned()))?;
            let control = value(matches, "control", any)?;
            return Ok(Running::Relay(Relay::start(listen, control, to)?));
        }
        _ => return Err(Error::Usage(BRIEF.to_owned())),
    };
    Ok(Running::One(handle))
}

fn engine_config(matches: &Matches, listen: SocketAddr) -> Result<engine::Config, Error> {
    let ranks = value(matches, "ranks", 4)?;
    let mut config = engine::Config::new()
        .listen(listen)
        .ranks(ranks)
        .group_ranks(value(matches, "group-ranks", ranks)?)
        .first_rank(value(matches, "first-rank", 0)?)
        .experts(value(matches, "experts", 16)?)
        .layers(value(matches, "layers", 2)?)
        .places(value(matches, "places", 5)?)
        .step_time(Duration::from_micros(value(matches, "step-us", 5000)?))
        .max_batch(value(matches, "max-batch", 64)?)
        .cache_blocks(value(matches, "cache-blocks", 4096)?)
        .load_time(Duration::from_millis(value(matches, "load-ms", 50)?))
        .lag(Duration::from_millis(value(matches, "lag-ms", 200)?))
        .seed(value(matches, "seed", 1)?)
        .checks_fence(!matches.opt_present("ignores-fence"));
    for follower in matches.opt_strs("follower") {
        let address = follower
            .parse()
            .map_err(|_| Error::Usage(format!("--follower: can't be {follower}")))?;
        config = config.follower(address);
    }
    for model in matches.opt_strs("model") {
        let (model, version) = model
            .split_once(':')
            .ok_or_else(|| Error::Usage("--model: no version".to_owned()))?;
        config = config.model(model, version);
    }
    Ok(config)
}

fn value<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, Error> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| Error::Usage(format!("--{name}: can't be {text}")))
}

/// Waits for an order to stop.
fn wait() -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
