//! Refusals of settings, with the path of each refused field, and of command lines.

use std::ffi::OsString;
use std::path::PathBuf;

use auburnline_core::published::Fleet;
use auburnline_settings::Entry;
use auburnline_settings::Error;
use auburnline_settings::Settings;
use auburnline_settings::Slot;
use auburnline_settings::arguments;
use auburnline_settings::arguments::Command;
use auburnline_settings::arguments::Program;
use auburnline_settings::arguments::UsageError;
use auburnline_settings::parse;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

const PROGRAM: Program = Program {
    name: "auburnline-entry",
    version: "0.1.0",
    purpose: "the entry process",
};

fn entry() -> Value {
    json!({
        "instance": "entry-1", "failure_domain": "nord",
        "caller": "10.0.0.1:80", "peer": "10.0.0.1:81", "operator": "10.0.0.1:82",
        "operator_token": "0123456789abcdef", "platform": "10.0.0.9:90",
        "seeds": ["10.0.0.2:81"],
    })
}

fn slot() -> Value {
    json!({
        "instance": "draft-1", "failure_domain": "nord",
        "peer": "10.0.1.1:81", "operator": "10.0.1.1:82",
        "operator_token": "0123456789abcdef", "platform": "10.0.0.9:90",
        "upstream": "127.0.0.1:8000", "upstream_kind": "engine", "lock": "127.0.0.1:8001",
    })
}

fn paths<T>(result: std::result::Result<T, Error>) -> Vec<String> {
    match result {
        Ok(_) => Vec::new(),
        Err(error) => error.0.into_iter().map(|fault| fault.path).collect(),
    }
}

/// Sets the JSON `pointer` to `value` and returns the paths of the refused fields.
fn refused<T: Settings>(mut json: Value, pointer: &str, value: Value) -> Vec<String> {
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    if json.pointer(parent).is_none() {
        json[&parent[1..]] = json!({});
    }
    let parent = json.pointer_mut(parent).expect("a parent");
    match field.parse::<usize>() {
        Ok(index) => parent[index] = value,
        Err(_) => parent[field] = value,
    }
    paths(parse::<T>(json.to_string().as_bytes()))
}

#[gtest]
fn good_settings_are_read_with_defaults() {
    let entry: Entry = parse(entry().to_string().as_bytes()).expect("good settings");
    let slot: Slot = parse(slot().to_string().as_bytes()).expect("good settings");
    expect_that!(entry.timing.heartbeat_ms, gt(0));
    expect_that!(slot.seeds, is_empty());
    expect_that!(format!("{entry:?}"), not(contains_substring("0123456789")));
}

#[gtest]
fn the_page_on_operating_has_each_field_and_default() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let entry: Entry = parse(entry().to_string().as_bytes()).expect("good settings");
    let slot: Slot = parse(slot().to_string().as_bytes()).expect("good settings");
    let mut fields = Vec::new();
    for json in [serde_json::to_value(entry), serde_json::to_value(slot)] {
        let json = json.expect("settings are JSON");
        fields.extend(json.as_object().expect("an object").clone());
    }
    for (name, value) in fields {
        let Value::Object(inner) = value else {
            expect_that!(page, contains_substring(format!("`{name}`")));
            continue;
        };
        for (field, default) in inner {
            let row = format!("| `{name}.{field}` |");
            let row = page.lines().find(|line| line.starts_with(&row));
            expect_that!(row, some(ends_with(format!("| {default} |"))), "{field}");
        }
    }
}

#[gtest]
fn each_fault_of_an_entry_names_its_path() {
    let cases = [
        ("/instance", json!(""), "instance"),
        ("/instance", json!("entry 1"), "instance"),
        ("/failure_domain", json!(""), "failure_domain"),
        ("/caller", json!("10.0.0.1"), "caller"),
        ("/caller", json!("host:80"), "caller"),
        ("/peer", json!("10.0.0.1:80"), "peer"),
        ("/operator", json!("0.0.0.0:81"), "operator"),
        ("/operator_token", json!("short"), "operator_token"),
        ("/operator_token", json!(""), "operator_token"),
        ("/platform", json!("0.0.0.0:90"), "platform"),
        ("/platform", json!("10.0.0.9:0"), "platform"),
        ("/seeds/0", json!("10.0.0.2"), "seeds[0]"),
        ("/seeds/0", json!("10.0.0.2:0"), "seeds[0]"),
        ("/seeds", json!(["10.0.0.2:1", "10.0.0.2:1"]), "seeds[1]"),
        ("/colour", json!("red"), "colour"),
        ("/timing/colour", json!("red"), "timing.colour"),
        ("/timing/heartbeat_ms", json!(0), "timing.heartbeat_ms"),
        ("/timing/heartbeat_ms", json!(-5), "timing.heartbeat_ms"),
        ("/timing/silence_ms", json!(500), "timing.silence_ms"),
        ("/timing/connect_ms", json!(1.5), "timing.connect_ms"),
        ("/timing/connect_ms", json!(u64::MAX), "timing.connect_ms"),
        (
            "/limits/max_connections",
            json!(0),
            "limits.max_connections",
        ),
        ("/limits/max_body_bytes", json!(-1), "limits.max_body_bytes"),
    ];
    for (pointer, value, path) in cases {
        let found = refused::<Entry>(entry(), pointer, value.clone());
        expect_that!(found, elements_are![eq(path)], "{pointer} set to {value}");
    }
}

#[gtest]
fn each_fault_of_a_slot_names_its_path() {
    let cases = [
        ("/upstream", json!("127.0.0.1:0"), "upstream"),
        ("/upstream_kind", json!("toaster"), "upstream_kind"),
        ("/lock", json!("127.0.0.1:0"), "lock"),
        ("/lock", json!("10.0.1.1:8001"), "lock"),
        ("/lock", json!("127.0.0.1:8000"), "lock"),
        ("/caller", json!("10.0.0.1:80"), "caller"),
    ];
    for (pointer, value, path) in cases {
        let found = refused::<Slot>(slot(), pointer, value.clone());
        expect_that!(found, elements_are![eq(path)], "{pointer} set to {value}");
    }
}

#[gtest]
fn missing_fields_and_broken_text_are_refused() {
    for field in ["instance", "caller", "operator_token", "platform"] {
        let mut json = entry();
        json.as_object_mut().expect("an object").remove(field);
        let found = paths(parse::<Entry>(json.to_string().as_bytes()));
        expect_that!(found, elements_are![eq(field)]);
    }
    let whole = entry().to_string();
    let twice = format!("{whole}{whole}");
    expect_that!(paths(parse::<Entry>(twice.as_bytes())), len(eq(1)));
    expect_that!(paths(parse::<Entry>(b"{")), len(eq(1)));
    expect_that!(paths(parse::<Entry>(b"")), len(eq(1)));
}

#[gtest]
fn all_faults_are_told_at_once() {
    let mut json = entry();
    json["instance"] = json!("");
    json["timing"] = json!({"connect_ms": 0});
    let found = paths(parse::<Entry>(json.to_string().as_bytes()));
    expect_that!(
        found,
        elements_are![eq("instance"), eq("timing.connect_ms")]
    );
}

#[gtest]
fn settings_are_compared_with_the_published_fleet() {
    let mut json = json!({
        "failure_domains": {"nord": "thies", "sud": "thies"},
        "entries": {"entry-1": {
            "failure_domain": "nord", "caller": "10.0.0.1:80", "peer": "10.0.0.1:81"}},
        "upstreams": {"draft-1": {
            "failure_domain": "nord", "peer": "10.0.1.1:81", "checks_fence": true}},
        "pools": {},
    });
    let entry: Entry = parse(entry().to_string().as_bytes()).expect("good settings");
    let slot: Slot = parse(slot().to_string().as_bytes()).expect("good settings");
    let fleet: Fleet = serde_json::from_value(json.clone()).expect("a fleet");
    expect_that!(entry.check_against(&fleet), ok(anything()));
    expect_that!(slot.check_against(&fleet), ok(anything()));

    json["entries"]["entry-1"]["failure_domain"] = json!("sud");
    json["entries"]["entry-1"]["caller"] = json!("10.0.0.1:99");
    json["upstreams"]["draft-1"]["peer"] = json!("10.0.1.2:81");
    let fleet: Fleet = serde_json::from_value(json).expect("a fleet");
    let found = paths(entry.check_against(&fleet));
    expect_that!(found, elements_are![eq("failure_domain"), eq("caller")]);
    expect_that!(paths(slot.check_against(&fleet)), elements_are![eq("peer")]);
    let found = paths(entry.check_against(&Fleet::default()));
    expect_that!(found, elements_are![eq("failure_domain"), eq("instance")]);
}

fn command(arguments: &[&str]) -> std::result::Result<Command, UsageError> {
    arguments::parse(PROGRAM, arguments.iter().map(OsString::from))
}

#[gtest]
fn the_command_line_is_read() {
    let file = || PathBuf::from("f.json");
    expect_that!(
        command(&["--settings", "f.json"]),
        ok(eq(&Command::Run(file())))
    );
    let check = command(&["--settings", "f.json", "--check"]);
    expect_that!(check, ok(eq(&Command::Check(file()))));
    let version = Command::Version("auburnline-entry 0.1.0".to_owned());
    expect_that!(command(&["--version"]), ok(eq(&version)));
    let help = command(&["--help"]);
    expect_that!(
        help,
        ok(matches_pattern!(Command::Help(contains_substring(
            "--check"
        ))))
    );
    expect_that!(command(&[]), err(eq(&UsageError::NoSettings)));
    expect_that!(
        command(&["x"]),
        err(eq(&UsageError::UnexpectedArgument("x".to_owned())))
    );
    expect_that!(
        command(&["--what"]),
        err(matches_pattern!(UsageError::Option(_)))
    );
}
