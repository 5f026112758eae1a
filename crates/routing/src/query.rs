//! The properties of a request that a decision depends on.

use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::id::ModelId;
use auburnline_core::id::PoolId;
use auburnline_core::request::Priority;
use auburnline_core::request::Request;
use auburnline_core::request::Work;

use crate::prefix::Prefix;

/// Estimated bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens counted for a call of a plain service.
const CALL_TOKENS: u64 = 1;

/// A request to be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Pool whose units serve the request.
    pub pool: PoolId,
    /// Model that generates the draft; `None` for a call of a plain service.
    pub model: Option<ModelId>,
    /// Keys of the prompt's prefixes; empty for a call.
    pub prefix: Prefix,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate; 0 for a call.
    pub max_tokens: u64,
    /// Order among waiting requests; the choice of a unit does not depend on it.
    pub priority: Priority,
    /// Time left until the answer is of no use; a query with none left is refused.
    pub deadline: Duration,
    /// Units that must not be chosen, for example those of earlier attempts.
    pub excluded: Vec<GroupId>,
}

impl Query {
    /// Returns the query for `request`, served by `pool`.
    #[must_use]
    pub fn new(request: &Request, pool: PoolId) -> Self {
        let (model, prefix, prompt_tokens, max_tokens) = match &request.work {
            Work::Draft {
                model,
                prompt,
                max_tokens,
            } => (
                Some(model.clone()),
                Prefix::new(prompt.as_bytes()),
                prompt.len().div_ceil(BYTES_PER_TOKEN) as u64,
                u64::from(*max_tokens),
            ),
            Work::Call { .. } => (None, Prefix::default(), CALL_TOKENS, 0),
        };
        Query {
            pool,
            model,
            prefix,
            prompt_tokens,
            max_tokens,
            priority: request.priority,
            deadline: request.deadline,
            excluded: Vec::new(),
        }
    }

    /// Returns the maximum number of tokens that the request adds to a unit's load.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_tokens)
    }
}
