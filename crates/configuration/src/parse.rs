//! Parsing of published bytes; an error has the path of the field that can't be parsed.

use auburnline_core::hash::digest;
use auburnline_core::published::MAX_VALUE_BYTES;
use auburnline_core::published::Manifest;
use auburnline_core::published::Section;
use serde::de::DeserializeOwned;

use crate::defect::Cause;
use crate::defect::Defect;

/// Paths that the parser reports for an error outside any field, such as invalid JSON at the start.
const NO_FIELD: [&str; 2] = [".", "?"];

/// Parses one value; `name` is the path of errors outside any field.
fn value<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, Defect> {
    if bytes.len() > MAX_VALUE_BYTES {
        let cause = Cause::TooLarge {
            bytes: bytes.len(),
            limit: MAX_VALUE_BYTES,
        };
        return Err(Defect::new(name, cause));
    }
    let mut parser = serde_json::Deserializer::from_slice(bytes);
    let parsed = serde_path_to_error::deserialize(&mut parser).map_err(|error| {
        let path = error.path().to_string();
        let path = if NO_FIELD.contains(&&*path) {
            name
        } else {
            &path
        };
        Defect::new(path, Cause::Shape(error.inner().to_string()))
    })?;
    parser
        .end()
        .map_err(|error| Defect::new(name, Cause::Shape(error.to_string())))?;
    Ok(parsed)
}

/// Parses a manifest; the digests of its sections are checked when the sections are parsed.
pub(crate) fn manifest(bytes: &[u8]) -> Result<Manifest, Defect> {
    value("manifest", bytes)
}

/// Parses the bytes of `section`, which must have the digest that the manifest names.
pub(crate) fn section<T: DeserializeOwned>(
    section: Section,
    expected: &str,
    bytes: &[u8],
) -> Result<T, Defect> {
    let found = digest(bytes);
    if found != expected {
        let cause = Cause::DigestMismatch {
            expected: expected.to_owned(),
            found,
        };
        return Err(Defect::new(format!("sections.{}", section.name()), cause));
    }
    value(section.name(), bytes)
}
