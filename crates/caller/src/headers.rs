//! Headers that describe a request.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::Attempt;
use auburnline_core::id::RequestId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::request::Priority;
use http::HeaderMap;

use crate::command::Key;
use crate::failure::Problem;

/// Longest idempotency key or workspace name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// What stands between workspace and key in an id.
const SEPARATOR: char = '/';
/// Deadline of a request that gives none.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(2);
/// Longest deadline taken.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// What the headers of a request say.
pub(crate) struct Headers {
    pub(crate) id: RequestId,
    pub(crate) key: Key,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) age: Duration,
    pub(crate) workspace: WorkspaceId,
    pub(crate) priority: Priority,
    pub(crate) deadline: Duration,
}

impl Headers {
    /// Reads the headers; `mint` makes a key if the caller gave none.
    pub(crate) fn read(
        headers: &HeaderMap,
        mint: impl FnOnce() -> Arc<str>,
    ) -> Result<Headers, Problem> {
        let given = name(headers, "idempotency-key")?;
        let key = if given.is_some() {
            Key::Caller
        } else {
            Key::Minted
        };
        let workspace = workspace(headers)?;
        Ok(Headers {
            id: qualified(&workspace, &given.unwrap_or_else(mint)),
            key,
            attempt: attempt(headers)?,
            age: millis(headers, "request-age-ms")?.unwrap_or_default(),
            workspace,
            priority: priority(headers)?,
            deadline: deadline(headers)?,
        })
    }
}

/// Reads the workspace, which every request names.
pub(crate) fn workspace(headers: &HeaderMap) -> Result<WorkspaceId, Problem> {
    let found = name(headers, "workspace")?;
    let workspace = found.ok_or_else(|| bad("workspace", "is missing"))?;
    if workspace.contains(SEPARATOR) {
        return Err(bad("workspace", "may not hold a slash"));
    }
    Ok(workspace)
}

/// Makes the id of a request from its workspace and key, so that no workspace meets another's.
pub(crate) fn qualified(workspace: &str, key: &str) -> RequestId {
    Arc::from(format!("{workspace}{SEPARATOR}{key}"))
}

/// Returns the key of an id, as the caller knows it.
pub(crate) fn key(id: &str) -> &str {
    id.split_once(SEPARATOR).map_or(id, |(_, key)| key)
}

fn text<'a>(headers: &'a HeaderMap, field: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(field) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad(field, "is not plain text"))
}

fn bad(field: &str, what: &str) -> Problem {
    Problem::found(Kind::BadRequest, format!("the header `{field}` {what}"))
}

fn name(headers: &HeaderMap, field: &str) -> Result<Option<Arc<str>>, Problem> {
    let Some(value) = text(headers, field)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        return Err(bad(field, "must have 1 to 128 bytes"));
    }
    if !value.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(bad(field, "may hold visible ASCII characters only"));
    }
    Ok(Some(Arc::from(value)))
}

fn millis(headers: &HeaderMap, field: &str) -> Result<Option<Duration>, Problem> {
    let Some(value) = text(headers, field)? else {
        return Ok(None);
    };
    let number: u64 = value
        .parse()
        .map_err(|_| bad(field, "is no number of milliseconds"))?;
    Ok(Some(Duration::from_millis(number)))
}

fn attempt(headers: &HeaderMap) -> Result<Option<Attempt>, Problem> {
    let Some(value) = text(headers, "attempt")? else {
        return Ok(None);
    };
    match value.parse() {
        Ok(0) | Err(_) => Err(bad("attempt", "must be a number from 1")),
        Ok(number) => Ok(Some(number)),
    }
}

fn priority(headers: &HeaderMap) -> Result<Priority, Problem> {
    match text(headers, "priority")? {
        None | Some("normal") => Ok(Priority::Normal),
        Some("batch") => Ok(Priority::Batch),
        Some("urgent") => Ok(Priority::Urgent),
        Some(_) => Err(bad("priority", "must be `batch`, `normal` or `urgent`")),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Duration, Problem> {
    let deadline = millis(headers, "deadline-ms")?.unwrap_or(DEFAULT_DEADLINE);
    if deadline.is_zero() {
        return Err(Problem::found(
            Kind::DeadlinePassed,
            "the deadline had passed on arrival",
        ));
    }
    Ok(deadline.min(MAX_DEADLINE))
}
