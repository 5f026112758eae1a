//! Lookups in a checked configuration, and differences between two.

use auburnline_configuration::difference::diff;
use auburnline_configuration::difference::preview;
use auburnline_core::published::Section;
use googletest::prelude::*;
use serde_json::json;

use crate::support::Draft;

#[gtest]
fn models_groups_and_slots_are_found() {
    let checked = Draft::default().checked();
    expect_that!(
        &**checked.pool_of_model("plan").expect("a pool"),
        eq("drafts")
    );
    expect_that!(checked.pool_of_model("x"), none());
    expect_that!(checked.groups_of_model("plan").count(), eq(1));
    expect_that!(checked.groups_of_model("x").count(), eq(0));
    let slot = checked.admitting("g1").expect("a slot");
    expect_that!(&**slot.instance, eq("u1"));
    expect_that!(slot.address.port(), eq(5));
    expect_that!(
        &**checked.group_of_instance("u2").expect("a group"),
        eq("g1")
    );
    expect_that!(checked.entries_in("kibera").count(), eq(1));
    expect_that!(checked.entries_in("x").count(), eq(0));
}

#[gtest]
fn a_model_has_a_pool_in_each_preset_that_moves_it() {
    let group = json!({"instances": ["u4"], "ranks_per_instance": 4});
    let upstream = json!({"failure_domain": "kibera", "peer": "127.0.0.1:8", "checks_fence": true});
    let peak = json!({"serves": "drafts", "minimum": 0, "groups": {"g2": group}});
    let moved = json!({"g2": {"model": "plan", "version": "1"}});
    let pointer = "/presets/maintenance/placements";
    let checked = Draft::default()
        .set(Section::Fleet, "/upstreams/u4", upstream)
        .set(Section::Fleet, "/pools/peak", peak)
        .set(Section::Presets, pointer, moved)
        .checked();
    let pools: Vec<&str> = checked
        .pools_of_model("plan")
        .into_iter()
        .map(|pool| &**pool)
        .collect();
    expect_that!(pools, eq(&vec!["drafts", "peak"]));
    expect_that!(checked.pools_of_model("x"), is_empty());
}

#[gtest]
fn a_call_is_idempotent_only_if_its_longest_prefix_says_so() {
    let checked = Draft::default().checked();
    let cases = [
        ("GET", "/cases", true),
        ("GET", "/cases/7?full=1", true),
        ("GET", "/cases?x=%2F", true),
        ("GET", "/cases-all", false),
        ("GET", "/cases/close", false),
        ("GET", "/cases/close/7", false),
        ("GET", "/cases/7/../close", false),
        ("GET", "/cases/%63lose", false),
        ("GET", "/cases//close", false),
        ("POST", "/cases", false),
        ("PUT", "/cases", false),
    ];
    for (method, path, expected) in cases {
        let found = checked.is_idempotent("records", method, path);
        expect_that!(found, eq(expected), "{method} {path}");
    }
    expect_false!(checked.is_idempotent("x", "GET", "/cases"));
}

#[gtest]
fn limits_follow_the_factor_of_the_preset_in_force() {
    let checked = Draft::default().checked();
    let limits = checked.limits("w").expect("limits");
    expect_that!(limits.tokens_per_second, eq(5.0));
    expect_that!(limits.burst_tokens, eq(5.0));
    expect_that!(checked.limits("x"), none());
}

#[gtest]
fn draining_follows_the_preset_in_force() {
    let ordinary = Draft::default().checked();
    let maintenance = Draft::default().preset("maintenance").checked();
    expect_false!(ordinary.drains("u3"));
    expect_true!(maintenance.drains("u3"));
    expect_true!(maintenance.group_drains("r1"));
    expect_false!(maintenance.group_drains("g1"));
}

#[gtest]
fn differences_are_told_in_words() {
    let old = Draft::default().checked();
    let draft = Draft::default().revision(2).preset("maintenance");
    let draft = draft.set(Section::Workspaces, "/workspaces/w/weight", json!(3));
    let new = draft.checked();
    let told: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    expect_that!(
        told,
        contains(eq("preset in force: ordinary -> maintenance"))
    );
    expect_that!(told, contains(eq("drain u3: serves -> drains")));
    expect_that!(
        told,
        contains(eq(
            "limit w: 5 tokens/s, burst 5, weight 1 -> 5 tokens/s, burst 5, weight 3"
        ))
    );
    expect_that!(diff(&old, &old), is_empty());
    expect_true!(preview(&old, &new).accepted);
    expect_false!(preview(&new, &old).accepted);
}
