//! Requests drawn from the seed.

use auburnline_core::hash::Digest;
use auburnline_core::hash::digest;
use auburnline_standin::service;
use auburnline_standin::text;
use http::Method;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::caller::Wish;
use crate::fleet::WORKSPACES;

/// Prompts, the same for many requests.
const PROMPTS: [&str; 4] = ["Handover on Fridays", "School holidays", "Tractor", "Costs"];
/// Most tokens of an ordinary draft, and of one in sixteen.
const SHORT: u32 = 24;
const LONG: u32 = 300;

/// What a request asks for.
#[derive(Clone, Debug)]
pub(crate) enum What {
    Draft {
        prompt: &'static str,
        tokens: u32,
        idempotent: bool,
    },
    Read {
        path: String,
    },
    File {
        body: String,
    },
}

/// A request.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) workspace: &'static str,
    pub(crate) what: What,
}

/// Returns the generator of a request's choices.
pub(crate) fn generator(seed: u64, number: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(number + 1);
    rng
}

impl Work {
    pub(crate) fn draw(rng: &mut ChaCha8Rng) -> Work {
        let workspace = WORKSPACES.choose(rng).copied().unwrap_or(WORKSPACES[0]);
        let what = match rng.random_range(0..10) {
            0 => What::Read {
                path: format!("/cases/{}/summary", rng.random_range(0..1000)),
            },
            1 | 2 => What::File {
                body: "x".repeat(rng.random_range(1..200)),
            },
            draw => What::Draft {
                prompt: PROMPTS.choose(rng).copied().unwrap_or(PROMPTS[0]),
                tokens: match rng.random_range(0..16) {
                    0 => rng.random_range(SHORT..LONG),
                    _ => rng.random_range(1..SHORT),
                },
                idempotent: draw == 3,
            },
        };
        Work { workspace, what }
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        match self.what {
            What::Draft { idempotent, .. } => idempotent,
            What::Read { .. } => true,
            What::File { .. } => false,
        }
    }

    pub(crate) fn wish(&self) -> Wish {
        let wish = match &self.what {
            What::Draft {
                prompt,
                tokens,
                idempotent: false,
            } => Wish::draft(prompt, *tokens),
            What::Draft { prompt, tokens, .. } => Wish::idempotent_draft(prompt, *tokens),
            What::Read { path } => Wish::call(Method::GET, path),
            What::File { body } => Wish::call(Method::POST, "/hearings").body(body.clone()),
        };
        wish.header("workspace", self.workspace)
    }

    /// Returns the whole text of a draft.
    pub(crate) fn text(&self, id: &str) -> Option<String> {
        match self.what {
            What::Draft { prompt, tokens, .. } => Some(text::answer(id, prompt, tokens)),
            _ => None,
        }
    }

    /// Returns the digest of the whole answer that the effect of this number gives.
    pub(crate) fn digest(&self, id: &str, number: u64) -> Digest {
        let body = match &self.what {
            What::Draft { .. } => self.text(id).unwrap_or_default(),
            What::Read { .. } => String::new(),
            What::File { body } => {
                let record = service::Record {
                    key: id.into(),
                    path: "/hearings".to_owned(),
                    effect: number,
                    record: format!("hearings number {number}, {} bytes on file", body.len()),
                };
                serde_json::to_string(&record).unwrap_or_default()
            }
        };
        digest(body.as_bytes())
    }

    /// Whether the answer to a read names this request and its path.
    pub(crate) fn is_own_read(&self, id: &str, answer: &str) -> bool {
        let What::Read { path } = &self.what else {
            return false;
        };
        let record: Result<service::Record, _> = serde_json::from_str(answer);
        record.is_ok_and(|record| &*record.key == id && record.path == *path && record.effect == 0)
    }
}
