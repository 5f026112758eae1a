//! Random connection cuts and service faults: the outcome of each call must agree with its effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_service::Answer;
use auburnline_service::Call;
use auburnline_service::Client;
use auburnline_service::Failure;
use auburnline_service::Timeouts;
use auburnline_standin::control;
use auburnline_standin::relay::Mode;
use auburnline_standin::relay::Relay;
use auburnline_standin::service::Config;
use auburnline_standin::service::Fault;
use auburnline_standin::service::Record;
use auburnline_standin::service::Service;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Builder;
use tokio::time::sleep;

/// Default number of calls in a run; `AUBURNLINE_EVENTS` overrides it.
const DEFAULT_CALLS: u64 = 2000;
/// Number of calls made concurrently.
const CONCURRENCY: u64 = 8;
/// Limit on every wait of the client.
const TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound of the random time between two faults.
const MAX_FAULT_INTERVAL_US: u64 = 4000;

/// Outcomes of the calls, by idempotency key.
type Outcomes = BTreeMap<String, std::result::Result<Answer, Failure>>;

fn number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

async fn call(client: &Client, key: String) -> (String, std::result::Result<Answer, Failure>) {
    let call = Call {
        id: key.as_str().into(),
        method: "POST".to_owned(),
        path: "/dispatches".to_owned(),
        body: "{}".into(),
    };
    let answer = client.call(&call).await;
    (key, answer.map_err(|report| *report.current_context()))
}

async fn call_all(client: &Client, calls: u64) -> Outcomes {
    let mut outcomes = Outcomes::new();
    for first in (0..calls).step_by(usize::try_from(CONCURRENCY).expect("a width")) {
        let keys = (first..calls.min(first + CONCURRENCY)).map(|key| key.to_string());
        let calls = keys.map(|key| call(client, key));
        outcomes.extend(futures::future::join_all(calls).await);
    }
    outcomes
}

/// Injects one random fault after another until it is cancelled.
async fn inject_faults(relay: SocketAddr, service: SocketAddr, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    loop {
        let mode = match rng.random_range(0..12) {
            0 => Mode::Cut,
            1 => Mode::Silent { new: true },
            2 => Mode::Delay(rng.random_range(0..5)),
            _ => Mode::Pass,
        };
        let fault = Fault {
            refuse: rng.random_bool(0.2).then_some(503),
            kill_after_effect: rng.random_bool(0.3),
            fail_after_effect: rng.random_bool(0.1),
            ..Fault::default()
        };
        control::set_relay(relay, mode).await.expect("a mode");
        control::set_fault(service, &fault).await.expect("a fault");
        sleep(Duration::from_micros(
            rng.random_range(0..MAX_FAULT_INTERVAL_US),
        ))
        .await;
    }
}

/// Describes how an outcome contradicts the number of effects, or `None` if they agree.
fn contradiction(
    key: &str,
    outcome: &std::result::Result<Answer, Failure>,
    effects: usize,
) -> Option<String> {
    let agrees = match outcome {
        Ok(answer) => {
            let record: Record = serde_json::from_slice(&answer.body).expect("a record");
            effects == 1 && &*record.key == key
        }
        Err(Failure::NotSent | Failure::Refused(_)) => effects == 0,
        Err(Failure::Failed) => effects == 1,
        Err(Failure::Lost | Failure::Malformed) => effects <= 1,
    };
    (!agrees).then(|| format!("{key}: {outcome:?} with {effects} effects"))
}

#[gtest]
fn what_is_told_of_a_call_agrees_with_its_effects() {
    let seed = number("AUBURNLINE_SEED", 1);
    let calls = number("AUBURNLINE_EVENTS", DEFAULT_CALLS);
    println!("AUBURNLINE_SEED={seed} AUBURNLINE_EVENTS={calls}");
    let service = Service::start(Config::default()).expect("a service");
    let relay = Relay::start_anywhere(service.address()).expect("a relay");
    let timeouts = Timeouts::new()
        .head(TIMEOUT)
        .silence(TIMEOUT)
        .whole(TIMEOUT);
    let client = Client::with_timeouts(relay.address(), timeouts.connect(TIMEOUT));
    let runtime = Builder::new_current_thread().enable_all().build();
    let (outcomes, effects) = runtime.expect("a runtime").block_on(async {
        let outcomes = tokio::select! {
            outcomes = call_all(&client, calls) => outcomes,
            () = inject_faults(relay.control(), service.address(), seed) => Outcomes::new(),
        };
        let effects = control::effects(service.address()).await;
        (outcomes, effects.expect("the effects"))
    });
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for effect in &effects {
        *counts.entry(&*effect.id).or_default() += 1;
    }
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for outcome in outcomes.values() {
        let kind = outcome.as_ref().err().map(ToString::to_string);
        *kinds.entry(kind.unwrap_or("whole".to_owned())).or_default() += 1;
    }
    println!("{kinds:?}");
    let count = |key: &str| counts.get(key).copied().unwrap_or(0);
    let contradictions = outcomes
        .iter()
        .filter_map(|(key, outcome)| contradiction(key, outcome, count(key)));
    assert_that!(contradictions.collect::<Vec<_>>(), is_empty());
    assert_that!(outcomes.len() as u64, eq(calls));
}
