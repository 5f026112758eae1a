//! The verbs, told once for help, completion and manual.

/// A verb of the command line.
pub(crate) struct Verb {
    /// Its words.
    pub(crate) name: &'static str,
    /// What follows it.
    pub(crate) arguments: &'static str,
    /// What it does, in one phrase.
    pub(crate) summary: &'static str,
}

const fn verb(name: &'static str, arguments: &'static str, summary: &'static str) -> Verb {
    Verb {
        name,
        arguments,
        summary,
    }
}

/// All verbs.
pub(crate) const VERBS: [Verb; 11] = [
    verb(
        "config check",
        "FILE|FOLDER...",
        "check a configuration: manifest and sections",
    ),
    verb(
        "config diff",
        "OLD NEW",
        "show what differs between two configurations, each a folder",
    ),
    verb(
        "config preview",
        "OLD NEW",
        "show what publishing NEW does to a fleet that has OLD in force",
    ),
    verb(
        "config publish-form",
        "FILE|FOLDER...",
        "print keys and manifest of sections, with their digests",
    ),
    verb("status", "", "show the fleet at a glance"),
    verb(
        "rollout",
        "REVISION",
        "wait until a revision is in force on every process asked",
    ),
    verb(
        "explain",
        "REQUEST|GROUP",
        "show the decisions on a request or group, of all processes",
    ),
    verb(
        "drain",
        "INSTANCE",
        "show the progress of a planned stop, or start one",
    ),
    verb(
        "discover",
        "ADDRESS",
        "show the entries that a caller is given",
    ),
    verb("completion", "bash", "print the completion for a shell"),
    verb("man", "", "print the manual page"),
];
