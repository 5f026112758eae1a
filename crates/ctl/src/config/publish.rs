//! `config publish-form`: what to write where, for whoever publishes.

use std::collections::BTreeMap;
use std::path::PathBuf;

use auburnline_configuration::checked::Checked;
use auburnline_core::hash::digest;
use auburnline_core::published::MANIFEST_KEY;
use auburnline_core::published::Manifest;
use serde::Serialize;

use crate::config::check;
use crate::config::load;
use crate::config::load::Parts;
use crate::error::Error;
use crate::options::Options;
use crate::output::Output;
use crate::table::Table;

#[derive(Serialize)]
struct Form<'a> {
    /// File of each section's key.
    sections: BTreeMap<String, PathBuf>,
    /// Value of the manifest's key, to be written last.
    manifest: &'a Manifest,
}

/// Prints keys and manifest; the answer is a no if the configuration would be refused.
pub(crate) fn run(
    paths: &[PathBuf],
    options: &Options,
    output: &mut Output<'_>,
) -> Result<bool, Error> {
    let (Some(_), Some(_)) = (options.revision()?, options.preset()) else {
        return Err(Error::usage("publish-form needs --revision and --preset"));
    };
    let mut parts = load::parts(paths)?;
    // The manifest is what this verb makes; one that lies beside the sections is an older one.
    parts.manifest = None;
    let sections = keys(&parts);
    let checked = match Checked::parse(parts.source(options)?) {
        Ok(checked) => checked,
        Err(refusal) => {
            check::refused(&refusal, options, output)?;
            return Ok(false);
        }
    };
    let form = Form {
        sections,
        manifest: checked.manifest(),
    };
    if options.json() {
        output.json(&form)?;
    } else {
        print(&form, &checked, output)?;
    }
    Ok(true)
}

fn keys(parts: &Parts) -> BTreeMap<String, PathBuf> {
    let sections = parts.sections.iter();
    sections
        .map(|(section, (path, value))| (section.key(&digest(value)), path.clone()))
        .collect()
}

fn print(form: &Form<'_>, checked: &Checked, output: &mut Output<'_>) -> Result<(), Error> {
    let mut table = Table::new(&["KEY", "VALUE"]);
    for (key, path) in &form.sections {
        table.push(vec![key.clone(), path.display().to_string()]);
    }
    let manifest = String::from_utf8_lossy(&checked.source().manifest).into_owned();
    table.push(vec![MANIFEST_KEY.to_owned(), manifest]);
    for line in table.lines() {
        output.line(&line)?;
    }
    Ok(())
}
