//! Lookups in a configuration table.

use std::time::Duration;

use auburnline_gateway::route::Engine;
use auburnline_gateway::route::Kind;
use auburnline_gateway::route::Route;
use auburnline_gateway::route::Table;
use auburnline_gateway::route::Workspace;
use googletest::prelude::*;

use crate::support::ENGINE;
use crate::support::configuration;
use crate::support::route;
use crate::support::table;

fn prefix(path: &str) -> Option<String> {
    let table = table(1);
    let route = table.route("desk.example", path);
    route.map(|route| route.prefix.clone())
}

#[gtest]
fn the_longest_prefix_takes_a_request() {
    assert_that!(prefix("/desk/cover/17"), some(eq("/desk/cover/")));
    assert_that!(prefix("/desk/other"), some(eq("/desk/")));
    assert_that!(prefix("/desk/"), some(eq("/desk/")));
}

#[gtest]
fn a_prefix_ends_where_a_part_of_the_path_ends() {
    assert_that!(prefix("/desktop/"), none());
    assert_that!(prefix("/desk"), none());
    assert_that!(prefix(""), none());
}

#[gtest]
fn hosts_are_told_apart_without_regard_to_case() {
    let table = table(1);
    assert_that!(table.route("DESK.example", "/desk/"), some(anything()));
    assert_that!(table.route("other.example", "/desk/"), none());
}

#[gtest]
fn a_key_names_its_workspace() {
    let table = table(1);
    let workspace = table.workspace("key-1").expect("a workspace");
    assert_that!(&*workspace.name, eq("valley"));
    assert_that!(table.workspace("key-2"), none());
    assert_that!(table.workspace(""), none());
}

#[gtest]
fn a_root_route_takes_what_no_other_does() {
    let routes = vec![
        route("/", "desk", Kind::Safe),
        route("/a/", "desk", Kind::Safe),
    ];
    let table = Table::new(configuration(1, routes));
    let found = table.route("desk.example", "/b/c").expect("a route");
    assert_that!(found.prefix, eq("/"));
}

/// Guards against a workspace whose priority hides that of the routes: most workspaces have the
/// same one.
#[gtest]
fn a_workspaces_priority_goes_before_that_of_a_route_which_orders_the_rest() {
    let stream = Kind::Stream { resumable: true };
    let ranked = |prefix, priority| Route {
        priority,
        ..route(prefix, "model", stream)
    };
    let routes = vec![ranked("/first/", 0), ranked("/second/", 2)];
    let mut configuration = configuration(1, routes.clone());
    let workspace = |name: &str, priority| Workspace {
        name: name.into(),
        priority: Some(priority),
    };
    let (urgent, usual) = (workspace("urgent", 0), workspace("usual", 1));
    configuration.workspaces = vec![(urgent.clone(), Vec::new()), (usual.clone(), Vec::new())];
    let table = Table::new(configuration);
    let urgency = |route, workspace| table.urgency("model", route, Some(workspace));
    expect_that!(table.urgencies("model"), eq(4));
    expect_that!(urgency(&routes[0], &urgent), eq(0));
    expect_that!(urgency(&routes[1], &urgent), eq(1));
    expect_that!(urgency(&routes[0], &usual), eq(2));
    expect_that!(urgency(&routes[1], &usual), eq(3));
}

#[gtest]
fn requests_of_equal_priority_have_one_urgency() {
    let table = table(1);
    expect_that!(table.urgencies("model"), eq(1));
    expect_that!(table.urgencies("unknown"), eq(1));
}

/// Guards against a configuration whose durations are each valid and end the process when they
/// are multiplied.
#[gtest]
fn a_cost_model_of_enormous_durations_is_reckoned_with() {
    let enormous = Engine {
        step: Duration::MAX,
        per_request: Duration::MAX,
        per_context: Duration::MAX,
        prefill_rate: f64::MIN_POSITIVE,
        mean_prompt_tokens: f64::MAX,
        mean_answer_tokens: f64::MAX,
        ..ENGINE
    };
    expect_that!(enormous.base(), eq(Duration::MAX));
    expect_that!(enormous.decode_time(), eq(Duration::MAX));
    expect_that!(enormous.cost(Duration::MAX).request, eq(Duration::MAX));
    let invalid = Engine {
        mean_prompt_tokens: f64::NAN,
        mean_answer_tokens: -1.0,
        ..ENGINE
    };
    expect_that!(invalid.decode_time(), eq(ENGINE.per_request * ENGINE.steps));
}
