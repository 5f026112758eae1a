#!/usr/bin/env bash
# A killed slot: its row says that it can't be reached, other groups serve, and it comes back.
set -euo pipefail
. "$(dirname "$0")/common.sh"

kill -KILL "${pid[draft-01]}"
wait "${pid[draft-01]}" 2>/dev/null || true
unset 'pid[draft-01]'
if ctl status >"$work/status"; then fail "the status ended with 0 with a slot dead"; fi
grep '^127.0.0.1:21500 .*unreachable' "$work/status" || fail "the dead slot's row doesn't say so"
serves() { draft 21100 "after-$RANDOM" 2 | grep '"checksum"'; }
await 10 serves || fail "no other group served"
slot draft-01 0 engine milimani
back() { ctl status | grep ' 0 unreachable, 0 not ready'; }
await 20 back || fail "the slot did not come back"
echo "other groups served, and the slot came back"
