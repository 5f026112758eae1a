//! `config check`.

use std::path::PathBuf;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::defect::Refusal;
use serde::Serialize;

use crate::config::load;
use crate::error::Error;
use crate::options::Options;
use crate::output::Output;

#[derive(Serialize)]
struct Verdict {
    good: bool,
    revision: Option<u64>,
    preset: Option<String>,
    digest: Option<String>,
    defects: Vec<Defect>,
}

#[derive(Serialize)]
struct Defect {
    path: String,
    cause: String,
}

/// Checks a configuration; the answer is a no if it would be refused.
pub(crate) fn run(
    paths: &[PathBuf],
    options: &Options,
    output: &mut Output<'_>,
) -> Result<bool, Error> {
    let source = load::parts(paths)?.source(options)?;
    match Checked::parse(source) {
        Ok(checked) => good(&checked, options, output),
        Err(refusal) => {
            refused(&refusal, options, output)?;
            Ok(false)
        }
    }
}

fn good(checked: &Checked, options: &Options, output: &mut Output<'_>) -> Result<bool, Error> {
    let verdict = Verdict {
        good: true,
        revision: Some(checked.revision()),
        preset: Some(checked.preset_name().to_string()),
        digest: Some(checked.digest().clone()),
        defects: Vec::new(),
    };
    if options.json() {
        output.json(&verdict)?;
    } else {
        let (revision, preset) = (checked.revision(), checked.preset_name());
        output.line(&format!("good: revision {revision}, preset {preset}"))?;
    }
    Ok(true)
}

/// Prints why a configuration is refused.
pub(crate) fn refused(
    refusal: &Refusal,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<(), Error> {
    let defects = refusal.defects.iter().map(|defect| Defect {
        path: defect.path.clone(),
        cause: defect.cause.to_string(),
    });
    let verdict = Verdict {
        good: false,
        revision: None,
        preset: None,
        digest: None,
        defects: defects.collect(),
    };
    if options.json() {
        output.json(&verdict)?;
        return Ok(());
    }
    for defect in &verdict.defects {
        output.line(&format!("{}: {}", defect.path, defect.cause))?;
    }
    let count = verdict.defects.len();
    output.line(&format!("refused: {count} defects"))?;
    Ok(())
}
