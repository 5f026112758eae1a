//! The manual page.

use std::fmt::Write as _;

use crate::options;
use crate::options::TOKEN_VARIABLE;
use crate::verb::VERBS;

/// Returns the manual page in the form that `man` reads.
pub(crate) fn page() -> String {
    let mut page = String::new();
    let version = env!("CARGO_PKG_VERSION");
    let _ = writeln!(page, ".TH AUBURNCTL 1 \"\" \"auburnline {version}\"");
    page.push_str(
        ".SH NAME\nauburnctl \\- check configurations and ask the processes of auburnline\n\
         .SH SYNOPSIS\n.B auburnctl\nVERB [ARGUMENT...] [OPTION...]\n.SH VERBS\n",
    );
    for verb in VERBS {
        let call = format!("{} {}", verb.name, verb.arguments);
        let call = escape(call.trim_end());
        let summary = escape(verb.summary);
        let _ = writeln!(page, ".TP\n.B {call}\n{summary}.");
    }
    page.push_str(".SH OPTIONS\n.nf\n");
    for line in options::usage().lines().filter(|line| !line.is_empty()) {
        let _ = writeln!(page, "{}", escape(line));
    }
    let _ = writeln!(
        page,
        ".fi\n.SH ENVIRONMENT\n.TP\n.B {TOKEN_VARIABLE}\nThe operators' token; it goes before the \
         settings file and after \\-\\-token.\n.SH EXIT STATUS\n0 for a yes; 1 for a no: a refused \
         configuration, a process that is silent, a revision that is not in force everywhere, a \
         broken invariant; 2 for a wrong call or files that can't be read."
    );
    page
}

fn escape(text: &str) -> String {
    let text = text.replace('\\', "\\\\").replace('-', "\\-");
    if text.starts_with('.') {
        format!("\\&{text}")
    } else {
        text
    }
}
