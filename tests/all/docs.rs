//! Pages name only tests and functions that exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use googletest::prelude::*;

use crate::style::sources;

/// Promises that the page on proofs has a section for.
const PROMISES: usize = 20;
/// Underscores from which on a word in code is taken for the name of a test or an invariant.
const UNDERSCORES: usize = 2;

/// The same on the page of the platform's terms, of which some have fewer.
const UNDERSCORES_OF_TESTS: usize = 3;

/// Returns the names of tests and invariants that a page holds in code.
fn names(page: &str) -> BTreeSet<&str> {
    let code = page.split('`').skip(1).step_by(2);
    let is_name = |word: &&str| {
        let plain = |letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit();
        word.chars().all(|letter| plain(letter) || letter == '_')
            && word.matches('_').count() >= UNDERSCORES
    };
    code.filter(is_name).collect()
}

/// Returns the names of all functions in the sources.
fn functions() -> BTreeSet<String> {
    let mut files = Vec::new();
    sources(Path::new(env!("CARGO_MANIFEST_DIR")), &mut files);
    let mut found = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a readable file");
        for part in text.split("fn ").skip(1) {
            let end = part.find(|letter: char| !(letter.is_alphanumeric() || letter == '_'));
            found.insert(part[..end.unwrap_or(part.len())].to_owned());
        }
    }
    found
}

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/PROOFS.md");
    fs::read_to_string(path).expect("the page on proofs")
}

#[gtest]
fn each_test_that_the_page_on_proofs_names_exists() {
    let (page, functions) = (page(), functions());
    let mut missing = names(&page);
    assert_that!(missing.len(), ge(PROMISES));
    missing.retain(|name| !functions.contains(*name));
    assert_that!(missing, is_empty());
}

#[gtest]
fn the_page_on_proofs_tells_for_each_promise_what_is_proved_and_what_is_not() {
    let page = page();
    let promises = page
        .split("\n## ")
        .filter(|part| part.contains("- Proof: "));
    let mut count = 0;
    for promise in promises {
        count += 1;
        for part in [
            "Mechanism",
            "Invariant",
            "Failures",
            "Seen failing",
            "Not proved",
        ] {
            assert_that!(promise, contains_substring(format!("\n- {part}: ")));
        }
        assert_that!(names(promise), not(is_empty()));
    }
    assert_that!(count, eq(PROMISES));
}

/// Guards against a term of the platform's pages that nothing reads while the table says that something does.
#[gtest]
fn each_row_of_the_table_of_terms_says_what_shows_it_or_why_not() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/design/terms.md");
    let page = fs::read_to_string(path).expect("the page on terms");
    let rows = page.lines().filter(|line| line.starts_with("| "));
    let untold = rows.filter(|row| {
        row.trim_end()
            .trim_end_matches('|')
            .trim_end()
            .ends_with('|')
    });
    expect_that!(untold.collect::<Vec<_>>(), is_empty());
    let functions = functions();
    let mut missing = names(&page);
    missing.retain(|name| name.matches('_').count() >= UNDERSCORES_OF_TESTS);
    assert_that!(missing.len(), ge(PROMISES));
    missing.retain(|name| !functions.contains(*name));
    expect_that!(missing, is_empty());
}
