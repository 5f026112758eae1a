//! Stand-ins and cases of the review.

mod app;
mod cursor;
mod failback;
mod http;
mod order;
mod poison;
mod process;
mod record;
mod server;
mod store;

use std::env;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// Exit code if the case could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let words: Vec<String> = env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (name, folder) = match words[1..] {
        ["server", address, id, ran] => {
            server::run(address, id, ran);
            return ExitCode::SUCCESS;
        }
        ["app", address, id, ran, crash_after] => {
            app::run(address, id, ran, crash_after);
            return ExitCode::SUCCESS;
        }
        [name, folder] => (name, Path::new(folder)),
        _ => return ExitCode::from(NOT_RUN),
    };
    let trouble = env::var("TROUBLE").unwrap_or_default();
    let record = Record::new(&folder.join("record.txt"));
    let scratch = env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    if fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(NOT_RUN);
    }
    record.add(&format!("case {name}, TROUBLE=\"{trouble}\""));
    let held = match name {
        "order" => order::run(&scratch, &record, order::Trouble::of(&trouble)),
        "cursor" => cursor::run(&scratch, &record, &trouble),
        "poison" => poison::run(&scratch, &record, &trouble),
        "failback" => failback::run(&scratch, &record, trouble != "0"),
        _ => None,
    };
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    } else {
        println!("kept {}", scratch.display());
    }
    let verdict = match held {
        Some(true) => "the rule held",
        Some(false) => "the rule was broken",
        None => "the case could not run",
    };
    record.tell(verdict);
    match held {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::FAILURE,
        None => ExitCode::from(NOT_RUN),
    }
}
