//! Stand-ins and cases of an independent review.
//!
//! `review-standins-2 CASE FOLDER` plays one case in the repository's root and writes `record.txt` into the folder. It
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod case4;
mod case5;
mod case6;
mod case8;
mod desk;
mod drafter;
mod group;
mod http;
mod process;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use crate::desk::Harm;
use crate::record::Record;

/// Longest time that a case takes.
const LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    process::end_after(LIMIT);
    let work = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let outcome = std::fs::create_dir_all(&work).map_err(|error| error.to_string());
    let outcome = outcome.and_then(|()| {
        let record = Record::create(&Path::new(folder).join("record.txt"));
        let record = record.map_err(|error| error.to_string())?;
        record.add(&format!("case {case}, trouble: {trouble}"));
        let verdict = match case.as_str() {
            "4" => case4::play(&work, &record, trouble != "0"),
            "5" => {
                let harm = if trouble == "0" {
                    Harm::None
                } else {
                    Harm::Crash
                };
                case5::play(&work, &record, harm, trouble != "stay")
            }
            "6" => case6::play(&work, &record, &trouble),
            "7" => {
                let harm = match trouble.as_str() {
                    "0" => Harm::None,
                    "silent" => Harm::Crash,
                    _ => Harm::CrashAfterError,
                };
                case5::play(&work, &record, harm, false)
            }
            "8" => case8::play(&work, &record, trouble != "0"),
            _ => Err("there is no such case".to_owned()),
        };
        if let Err(error) = &verdict {
            record.add(&format!("couldn't run: {error}"));
        }
        verdict
    });
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&work);
    }
    match outcome {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
