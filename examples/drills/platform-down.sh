#!/usr/bin/env bash
# The platform is down: what is in force stays, and drafts are served.
set -euo pipefail
. "$(dirname "$0")/common.sh"

kill -KILL "${pid[platform]}"
wait "${pid[platform]}" 2>/dev/null || true
unset 'pid[platform]'
sleep 3
draft 21100 during-1 2 | grep -q '"checksum"' || fail "no draft without the platform"
ctl rollout 1 --wait 0 || fail "a process lost what was in force"
