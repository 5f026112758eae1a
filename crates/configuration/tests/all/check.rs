//! Tests that a configuration with a defect is refused with the path of the field.

use auburnline_configuration::checked::Checked;
use auburnline_configuration::source::Value;
use auburnline_core::published::MAX_VALUE_BYTES;
use auburnline_core::published::Section;
use googletest::prelude::*;
use serde_json::json;

use crate::support::Draft;

fn refusal(draft: &Draft) -> String {
    let refused = draft.parse().expect_err("a refused configuration");
    refused.to_string()
}

#[gtest]
fn the_draft_of_the_tests_is_valid() {
    assert_that!(Draft::default().parse(), ok(anything()));
}

#[gtest]
fn fields_are_refused_by_their_path() {
    use Section::Fleet;
    use Section::Presets;
    use Section::Services;
    use Section::Workspaces;
    let preset = |field: &str| format!("/presets/maintenance/{field}");
    let cases = [
        (
            Presets,
            preset("drain"),
            json!(["x"]),
            r#"presets.maintenance.drain[0]: unknown instance "x""#,
        ),
        (
            Presets,
            preset("drains"),
            json!([]),
            "presets.maintenance.drains: unknown field `drains`",
        ),
        (
            Presets,
            preset("placements/x"),
            json!({"model": "m", "version": "1"}),
            r#"presets.maintenance.placements.x: unknown group "x""#,
        ),
        (
            Presets,
            preset("placements/r1"),
            json!({"model": "m", "version": "1"}),
            "presets.maintenance.placements.r1: the pool does not serve",
        ),
        (
            Presets,
            preset("drain_deadline_ms"),
            json!(0),
            "presets.maintenance.drain_deadline_ms: must be above zero",
        ),
        (
            Presets,
            preset("drain_deadline_ms"),
            json!(-1),
            "presets.maintenance.drain_deadline_ms: invalid value",
        ),
        (
            Presets,
            preset("changing_groups"),
            json!(0),
            "presets.maintenance.changing_groups: must be above zero",
        ),
        (
            Presets,
            preset("limit_factor"),
            json!(0.0),
            "presets.maintenance.limit_factor: must be above zero",
        ),
        (
            Presets,
            preset("limit_factor"),
            json!(null),
            "presets.maintenance.limit_factor: invalid type",
        ),
        (
            Presets,
            preset("rebalance/move_weight"),
            json!(-0.5),
            "presets.maintenance.rebalance.move_weight: must not be below zero",
        ),
        (
            Fleet,
            "/entries/e1/failure_domain".into(),
            json!("x"),
            r#"entries.e1.failure_domain: unknown failure domain "x""#,
        ),
        (
            Fleet,
            "/entries/e1/peer".into(),
            json!("127.0.0.1:7"),
            "upstreams.u3.peer: address 127.0.0.1:7 is also at entries.e1.peer",
        ),
        (
            Fleet,
            "/entries/e1/peer".into(),
            json!("127.0.0.1:0"),
            "entries.e1.peer: needs a port",
        ),
        (
            Fleet,
            "/entries/e1/peer".into(),
            json!("host:1"),
            "entries.e1.peer: invalid socket address",
        ),
        (
            Fleet,
            "/entries/u1".into(),
            json!({"failure_domain": "kibera", "caller": "127.0.0.1:11", "peer": "127.0.0.1:12"}),
            r#"upstreams.u1: "u1" stands also at entries.u1"#,
        ),
        (
            Fleet,
            "/pools/drafts/minimum".into(),
            json!(2),
            "pools.drafts.minimum: more than the pool's 1 groups",
        ),
        (
            Fleet,
            "/pools/records/groups/r1/instances".into(),
            json!(["u2"]),
            r#"pools.records.groups.r1.instances[0]: "u2" stands also at pools.drafts.groups.g1.instances[1]"#,
        ),
        (
            Fleet,
            "/pools/records/groups/r1/instances".into(),
            json!(["e1"]),
            r#"pools.records.groups.r1.instances[0]: unknown upstream instance "e1""#,
        ),
        (
            Fleet,
            "/pools/records/groups/r1/instances".into(),
            json!([]),
            "pools.records.groups.r1.instances: must not be empty",
        ),
        (
            Fleet,
            "/pools/records/groups/r1/ranks_per_instance".into(),
            json!(0),
            "pools.records.groups.r1.ranks_per_instance: must be above zero",
        ),
        (
            Services,
            "/services/x".into(),
            json!([]),
            r#"services.x: unknown pool "x""#,
        ),
        (
            Services,
            "/services/drafts".into(),
            json!([]),
            "services.drafts: the pool does not serve",
        ),
        (
            Services,
            "/services/records".into(),
            json!([{"method": "get", "path": "x", "idempotent": true}]),
            "services.records[0].method: must be upper-case letters; services.records[0].path: must begin with '/'",
        ),
        (
            Workspaces,
            "/workspaces/w/weight".into(),
            json!(0),
            "workspaces.w.weight: must be above zero",
        ),
        (
            Workspaces,
            "/workspaces/w/burst_tokens".into(),
            json!(u64::MAX),
            "workspaces.w.burst_tokens: must not be above",
        ),
    ];
    for (section, pointer, value, expected) in cases {
        let draft = Draft::default().set(section, &pointer, value);
        expect_that!(refusal(&draft), contains_substring(expected));
    }
}

#[gtest]
fn the_manifest_is_refused_by_its_path() {
    let missing = Draft::default().preset("x");
    expect_that!(refusal(&missing), eq(r#"preset: unknown preset "x""#));
    let zero = Draft::default().revision(0);
    expect_that!(refusal(&zero), eq("revision: must be above zero"));
    let mut broken = Draft::default().source();
    broken.manifest = Value::from(&b"{"[..]);
    let refused = Checked::parse(broken).expect_err("broken JSON");
    expect_that!(refused.to_string(), starts_with("manifest: EOF"));
}

#[gtest]
fn sections_are_refused_by_digest_size_and_absence() {
    let mut other = Draft::default().source();
    other
        .sections
        .insert(Section::Services, Value::from(&b"{}"[..]));
    let refused = Checked::parse(other).expect_err("another digest");
    expect_that!(
        refused.to_string(),
        starts_with("sections.services: digest")
    );

    let mut missing = Draft::default().source();
    missing.sections.remove(&Section::Services);
    let refused = Checked::parse(missing).expect_err("a section too few");
    expect_that!(
        refused.to_string(),
        eq("sections.services: section is missing")
    );

    let name = "n".repeat(MAX_VALUE_BYTES);
    let large = Draft::default().set(Section::Workspaces, "/workspaces/w", json!({ name: 1 }));
    expect_that!(refusal(&large), contains_substring("more than 1000000"));
}
