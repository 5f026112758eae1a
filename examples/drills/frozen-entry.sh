#!/usr/bin/env bash
# A frozen entry: a rollout names it and ends with 1; once it wakes, the same rollout ends with 0.
set -euo pipefail
. "$(dirname "$0")/common.sh"

kill -STOP "${pid[entry-3]}"
publish 2 peak
if ctl rollout 2 --wait 4 --timeout 1000 >"$work/rollout"; then
  fail "the rollout ended with 0 while an entry was frozen"
fi
cat "$work/rollout"
grep -q '^lacking: 127.0.0.1:21302 ' "$work/rollout" || fail "the frozen entry is not named"
kill -CONT "${pid[entry-3]}"
ctl rollout 2 --wait 20 || fail "the rollout did not end after the entry woke"
