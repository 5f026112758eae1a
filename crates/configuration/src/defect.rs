//! Defects of published bytes, by the path of the field.
//!
//! A path starts at a top-level field of the manifest or of a section. No two of them have a
//! top-level field of the same name, so a path needs no section name as a prefix.

use std::error::Error;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

use auburnline_core::hash::Digest;

/// Maximum number of defects that one refusal lists.
pub const MAX_DEFECTS: usize = 64;

/// Kind of object that an unknown name should refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A key of the fleet's `failure_domains`.
    FailureDomain,
    /// An entry or an upstream instance.
    Instance,
    /// A key of the fleet's `upstreams`.
    Upstream,
    /// A group of any pool.
    Group,
    /// A key of the fleet's `pools`.
    Pool,
    /// A key of the presets section.
    Preset,
}

/// Why a value is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Not JSON of the expected shape, with the parser's message.
    Shape(String),
    /// More bytes than the configuration service stores in one value.
    TooLarge {
        /// Size of the value.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The digest of the section's bytes differs from the one in the manifest.
    DigestMismatch {
        /// Digest in the manifest.
        expected: Digest,
        /// Digest of the section's bytes.
        found: Digest,
    },
    /// The manifest doesn't name the section, or the section's bytes are absent.
    MissingSection,
    /// A reference to a name that isn't published.
    Unknown {
        /// Kind of object that the name should refer to.
        subject: Subject,
        /// Name as it was published.
        name: String,
    },
    /// An address that another field has too.
    SharedAddress {
        /// IP address and port.
        address: SocketAddr,
        /// Path of the first field that has it.
        other: String,
    },
    /// A name that must be unique and isn't.
    Repeated {
        /// Repeated name.
        name: String,
        /// Path of its first occurrence.
        other: String,
    },
    /// A model that one preset places in two pools.
    TwoPools {
        /// Name of the model.
        model: String,
        /// Name of the pool of its first placement.
        other: String,
    },
    /// A number that must be above zero.
    NotPositive,
    /// A number that must not be below zero.
    Negative,
    /// A number that is infinite or NaN.
    NotFinite,
    /// A number above its limit.
    TooBig {
        /// Largest number allowed.
        limit: u64,
    },
    /// A list or name that must not be empty.
    Empty,
    /// An address without a port.
    NoPort,
    /// A pool's minimum is above its number of groups.
    MinimumAboveGroups {
        /// Number of groups of the pool.
        groups: usize,
    },
    /// The pool does not serve this kind of work.
    WrongPool,
    /// An HTTP method that is empty or has other characters than upper-case letters.
    BadMethod,
    /// A path that doesn't begin with `/`.
    BadPath,
}

/// One defect of published bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Defect {
    /// Path of the field.
    pub path: String,
    /// Why the field is refused.
    pub cause: Cause,
}

/// Why a configuration is refused; one defect is enough to refuse all of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Defects in the order found, at most [`MAX_DEFECTS`].
    pub defects: Vec<Defect>,
}

impl Defect {
    /// Returns a defect of the field at `path`.
    pub fn new(path: impl Into<String>, cause: Cause) -> Self {
        Self {
            path: path.into(),
            cause,
        }
    }
}

impl Refusal {
    /// Returns whether fetching the same configuration again can't help.
    ///
    /// A section that is missing or has another digest than in the manifest counts as a transfer
    /// error, so a new fetch may succeed.
    #[must_use]
    pub fn is_final(&self) -> bool {
        !self.defects.iter().any(|defect| defect.cause.is_transfer())
    }
}

impl Cause {
    fn is_transfer(&self) -> bool {
        matches!(self, Cause::DigestMismatch { .. } | Cause::MissingSection)
    }
}

impl Display for Subject {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Subject::FailureDomain => "failure domain",
            Subject::Instance => "instance",
            Subject::Upstream => "upstream instance",
            Subject::Group => "group",
            Subject::Pool => "pool",
            Subject::Preset => "preset",
        })
    }
}

impl Display for Cause {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Cause::Shape(message) => f.write_str(message),
            Cause::TooLarge { bytes, limit } => write!(f, "{bytes} bytes, more than {limit}"),
            Cause::DigestMismatch { expected, found } => {
                write!(f, "digest {found}, the manifest names {expected}")
            }
            Cause::MissingSection => f.write_str("section is missing"),
            Cause::Unknown { subject, name } => write!(f, "unknown {subject} {name:?}"),
            Cause::SharedAddress { address, other } => {
                write!(f, "address {address} is also at {other}")
            }
            Cause::Repeated { name, other } => write!(f, "{name:?} stands also at {other}"),
            Cause::TwoPools { model, other } => {
                write!(f, "model {model:?} is also placed in pool {other:?}")
            }
            Cause::NotPositive => f.write_str("must be above zero"),
            Cause::Negative => f.write_str("must not be below zero"),
            Cause::NotFinite => f.write_str("must be a finite number"),
            Cause::TooBig { limit } => write!(f, "must not be above {limit}"),
            Cause::Empty => f.write_str("must not be empty"),
            Cause::NoPort => f.write_str("needs a port"),
            Cause::MinimumAboveGroups { groups } => {
                write!(f, "more than the pool's {groups} groups")
            }
            Cause::WrongPool => f.write_str("the pool does not serve this kind of work"),
            Cause::BadMethod => f.write_str("must be upper-case letters"),
            Cause::BadPath => f.write_str("must begin with '/'"),
        }
    }
}

impl Display for Defect {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.cause)
    }
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, defect) in self.defects.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{defect}")?;
        }
        Ok(())
    }
}

impl Error for Defect {}
impl Error for Refusal {}
