//! Fingerprint of a request, which tells a retry from a different request with the same key.
//!
//! It covers the workspace and the work but not the attempt, age or deadline, which differ between
//! attempts of one request. Requests of two workspaces with the same key have different
//! fingerprints, so they never share an answer.

use auburnline_core::hash::stable;
use auburnline_core::request::Request;
use auburnline_core::request::Work;

/// Hash seed, which must be equal in every process.
const SEED: u64 = 0x6175_6275_726e_0002;

/// 64-bit hash of a request's workspace and work.
pub type Fingerprint = u64;

/// Computes the fingerprint of `request`.
#[must_use]
pub fn of(request: &Request) -> Fingerprint {
    let mut bytes = Vec::new();
    append_part(&mut bytes, request.workspace.as_bytes());
    match &request.work {
        Work::Draft {
            model,
            prompt,
            max_tokens,
        } => {
            append_part(&mut bytes, b"draft");
            append_part(&mut bytes, model.as_bytes());
            append_part(&mut bytes, prompt.as_bytes());
            append_part(&mut bytes, &max_tokens.to_be_bytes());
        }
        Work::Call {
            service,
            method,
            path,
            body,
        } => {
            append_part(&mut bytes, b"call");
            append_part(&mut bytes, service.as_bytes());
            append_part(&mut bytes, method.as_bytes());
            append_part(&mut bytes, path.as_bytes());
            append_part(&mut bytes, body);
        }
    }
    stable(SEED, &bytes)
}

/// Appends `part` prefixed with its length, so that different lists of parts give different bytes.
fn append_part(bytes: &mut Vec<u8>, part: &[u8]) {
    bytes.extend_from_slice(&(part.len() as u64).to_be_bytes());
    bytes.extend_from_slice(part);
}
