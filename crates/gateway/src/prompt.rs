//! Parts of a request's prompt.
//!
//! A prompt consists of parts, and requests whose prompts begin alike share the first of them. The last part belongs to one
//! request or to the requests of one session.

/// Id of a part; equal in all requests that share it.
pub type Part = u64;

/// Maximum number of parts of one prompt that are considered.
pub const MAX_PARTS: usize = 16;
