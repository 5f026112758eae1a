//! Completion for shells.

use crate::options;
use crate::verb::VERBS;

/// Returns the completion for bash, to be sourced.
pub(crate) fn bash() -> String {
    let mut first: Vec<&str> = VERBS
        .iter()
        .filter_map(|verb| verb.name.split(' ').next())
        .collect();
    first.dedup();
    let second: Vec<&str> = VERBS
        .iter()
        .filter_map(|verb| verb.name.strip_prefix("config "))
        .collect();
    let first = first.join(" ");
    let second = second.join(" ");
    let options = options::names().join(" ");
    format!(
        r#"_auburnctl() {{
    local word=${{COMP_WORDS[COMP_CWORD]}} verb=${{COMP_WORDS[1]}}
    local words
    if [[ $word == -* ]]; then
        words="{options}"
    elif [[ $COMP_CWORD -eq 1 ]]; then
        words="{first}"
    elif [[ $COMP_CWORD -eq 2 && $verb == config ]]; then
        words="{second}"
    elif [[ $COMP_CWORD -eq 2 && $verb == completion ]]; then
        words="bash"
    fi
    if [[ -n $words ]]; then
        COMPREPLY=($(compgen -W "$words" -- "$word"))
    else
        COMPREPLY=($(compgen -f -- "$word"))
    fi
}}
complete -F _auburnctl auburnctl
"#
    )
}
