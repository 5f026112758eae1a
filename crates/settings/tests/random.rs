//! Property tests: parsing random input never panics, and accepted settings are valid.

use auburnline_settings::Entry;
use auburnline_settings::Slot;
use auburnline_settings::parse;
use proptest::collection::btree_map;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;

const DEFAULT_SEED: u64 = 7;
const DEFAULT_CASES: u32 = 512;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn config() -> Config {
    let seed = number("AUBURNLINE_SEED", DEFAULT_SEED);
    let cases = number("AUBURNLINE_EVENTS", DEFAULT_CASES.into());
    println!("AUBURNLINE_SEED={seed} AUBURNLINE_EVENTS={cases}");
    Config {
        cases: u32::try_from(cases).unwrap_or(u32::MAX),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn leaf() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[ -~]{0,12}".prop_map(Value::from),
        Just(json!("10.0.0.1:80")),
        Just(json!("0123456789abcdef")),
    ]
}

fn any_json() -> impl Strategy<Value = Value> {
    leaf().prop_recursive(3, 32, 6, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            btree_map("(timing|limits|seeds|caller|[a-z_]{1,8})", inner, 0..6)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

fn good() -> Value {
    json!({
        "instance": "entry-1", "failure_domain": "nord",
        "caller": "10.0.0.1:80", "peer": "10.0.0.1:81", "operator": "10.0.0.1:82",
        "operator_token": "0123456789abcdef", "platform": "10.0.0.9:90",
        "seeds": [], "timing": {}, "limits": {},
    })
}

const FIELDS: [&str; 10] = [
    "instance",
    "failure_domain",
    "caller",
    "peer",
    "operator",
    "operator_token",
    "platform",
    "seeds",
    "timing",
    "limits",
];

proptest! {
    #![proptest_config(config())]

    #[test]
    fn random_bytes_are_refused_with_a_fault(bytes in vec(any::<u8>(), 0..256)) {
        let error = parse::<Slot>(&bytes).expect_err("random bytes are no settings");
        prop_assert!(!error.0.is_empty());
    }

    #[test]
    fn random_json_is_refused_with_a_path(json in any_json()) {
        let error = parse::<Entry>(json.to_string().as_bytes()).expect_err("no settings");
        prop_assert!(error.0.iter().all(|fault| !fault.path.is_empty()));
    }

    #[test]
    fn one_random_field_is_accepted_only_if_it_is_sound(
        field in proptest::sample::select(FIELDS.to_vec()),
        value in any_json(),
    ) {
        let mut json = good();
        json[field] = value;
        match parse::<Entry>(json.to_string().as_bytes()) {
            Err(error) => {
                prop_assert!(error.0.iter().all(|fault| !fault.path.is_empty()));
            }
            Ok(entry) => {
                prop_assert!(!entry.instance.is_empty());
                prop_assert!(entry.operator_token.secret().len() >= 16);
                prop_assert!(entry.timing.silence_ms > entry.timing.heartbeat_ms);
                prop_assert_ne!(entry.caller, entry.peer);
                let text = serde_json::to_vec(&entry).expect("settings are JSON");
                prop_assert_eq!(parse::<Entry>(&text).expect("read again"), entry);
            }
        }
    }
}
