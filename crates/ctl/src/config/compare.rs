//! `config diff` and `config preview`.

use std::path::PathBuf;
use std::sync::Arc;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::difference;
use auburnline_configuration::difference::Change;

use crate::config::check;
use crate::config::load;
use crate::error::Error;
use crate::options::Options;
use crate::output::Output;

type Pair = (Arc<Checked>, Arc<Checked>);

/// Shows what differs between two configurations.
pub(crate) fn diff(
    old: &PathBuf,
    new: &PathBuf,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<bool, Error> {
    let Some((old, new)) = pair(old, new, options, output)? else {
        return Ok(false);
    };
    let changes = difference::diff(&old, &new);
    if options.json() {
        output.json(&changes)?;
    } else {
        list(&changes, output)?;
    }
    Ok(true)
}

/// Shows what publishing the new one does; the answer is a no if no process would take it.
pub(crate) fn preview(
    old: &PathBuf,
    new: &PathBuf,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<bool, Error> {
    let Some((old, new)) = pair(old, new, options, output)? else {
        return Ok(false);
    };
    let preview = difference::preview(&old, &new);
    if options.json() {
        output.json(&preview)?;
        return Ok(preview.accepted);
    }
    list(&preview.changes, output)?;
    if preview.accepted {
        output.line("accepted: processes with the old one take the new one")?;
    } else {
        output.line(&format!("not accepted: {}", preview.reason))?;
    }
    Ok(preview.accepted)
}

fn list(changes: &[Change], output: &mut Output<'_>) -> Result<(), Error> {
    for change in changes {
        output.line(&change.to_string())?;
    }
    let count = changes.len();
    output.line(&format!("{count} changes"))?;
    Ok(())
}

/// Returns both configurations, or prints why one is refused.
fn pair(
    old: &PathBuf,
    new: &PathBuf,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<Option<Pair>, Error> {
    let old = one(old, options, output)?;
    let new = one(new, options, output)?;
    Ok(old.zip(new))
}

fn one(
    path: &PathBuf,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<Option<Arc<Checked>>, Error> {
    let source = load::parts(std::slice::from_ref(path))?.source(options)?;
    match Checked::parse(source) {
        Ok(checked) => Ok(Some(checked)),
        Err(refusal) => {
            output.note(&format!("{} is refused", path.display()));
            check::refused(&refusal, options, output)?;
            Ok(None)
        }
    }
}
