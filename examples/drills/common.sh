# Functions of the drills. Source it after `set -euo pipefail`; it starts the example deployment.

. "$(dirname "${BASH_SOURCE[0]}")/../lib.sh"

ctl() { "$bin/auburnctl" "$@" --at "$operators" --token "$token"; }

fail() {
  echo "drill failed: $*" >&2
  exit 1
}

# draft PORT KEY TOKENS [MORE]: asks for a draft at the entry with this port.
draft() {
  curl -s -m 20 -H 'workspace: mediators' -H "idempotency-key: $2" -H 'attempt: 1' \
    -H 'content-type: application/json' \
    -d "{\"model\":\"clauses\",\"prompt\":\"drill\",\"max_tokens\":$3${4-}}" \
    "http://127.0.0.1:$1/v1/drafts"
}

deploy
# Until it knows platform and peers, a process is not ready; a drill begins when all are.
all_ready() { ctl status | grep -q ' 0 not ready'; }
await 20 all_ready
