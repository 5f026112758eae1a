#!/usr/bin/env bash
# A graceful stop: an entry that is told to stop refuses new work as not run, ends the draft that
# it has in flight whole, and then ends itself.
set -euo pipefail
. "$(dirname "$0")/common.sh"

draft 21101 long-1 600 ',"stream":true' >"$work/draft" &
long=$!
await 10 grep -q 'event: ' "$work/draft"
kill -TERM "${pid[entry-2]}"
refused() { draft 21101 "new-$RANDOM" 1 | grep '"kind":"leaving","fate":"not_run"'; }
await 5 refused
wait "$long" || fail "the draft in flight was cut"
grep -q '^event: end' "$work/draft" || fail "the draft in flight has no end"
wait "${pid[entry-2]}" || fail "the entry ended with a failure"
unset 'pid[entry-2]'
echo "the draft ended whole, and the entry ended with 0"
