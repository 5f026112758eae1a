//! Reads, parses and checks settings.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Fault;
use crate::error::Reason;

/// Settings that can be checked after parsing.
pub trait Settings: DeserializeOwned {
    /// Checks the constraints that the types can't express.
    ///
    /// # Errors
    ///
    /// Returns all faults found.
    fn check(&self) -> Result<(), Error>;
}

/// Reads and checks the settings in the file at `path`.
///
/// # Errors
///
/// Returns the fault of the file, or else as [`parse`].
pub fn read<T: Settings>(path: impl AsRef<Path>) -> Result<T, Error> {
    let path = path.as_ref();
    let bytes = fs::read(path).map_err(|error| {
        let reason = Reason::Unreadable(error.to_string());
        Error::single(path.display().to_string(), reason)
    })?;
    parse(&bytes)
}

/// Parses and checks the settings in `bytes`.
///
/// # Errors
///
/// Returns the first fault of syntax or type, or else the faults of all fields that fail the check.
pub fn parse<T: Settings>(bytes: &[u8]) -> Result<T, Error> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let settings: T = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        malformed(&path, error.inner())
    })?;
    json.end().map_err(|error| malformed(".", &error))?;
    settings.check()?;
    Ok(settings)
}

/// Converts a JSON error; for a missing field, the path is that of the field, not of its parent.
fn malformed(path: &str, error: &serde_json::Error) -> Error {
    let cause = error.to_string();
    let missing = cause
        .strip_prefix("missing field `")
        .and_then(|rest| rest.split('`').next());
    let path = match (missing, path) {
        (Some(field), ".") => field.to_owned(),
        (Some(field), parent) => format!("{parent}.{field}"),
        (None, path) => path.to_owned(),
    };
    Error::single(path, Reason::Malformed(cause))
}

pub(crate) fn into_result(faults: Vec<Fault>) -> Result<(), Error> {
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Error(faults))
    }
}
