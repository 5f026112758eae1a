#!/usr/bin/env bash
# Builds all, runs a deployment of the Nairobi shape on loopback with stand-ins for upstreams and
# platform, and shows a streamed draft, a case record and the fleet's status. Ends all it started.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins
. examples/lib.sh

echo "== starting 6 entries, 12 drafting servers in 3 groups, 3 case-record servers"
deploy

echo "== which entries to use"
curl -sf http://127.0.0.1:21100/v1/entries
echo

echo "== a streamed draft"
curl -sfN -H 'workspace: mediators' -H 'idempotency-key: clause-1' -H 'attempt: 1' \
  -H 'content-type: application/json' \
  -d '{"model":"clauses","prompt":"Handover on Fridays after school","max_tokens":8,"stream":true}' \
  http://127.0.0.1:21100/v1/drafts

echo "== a case record"
curl -sf -H 'workspace: mediators' http://127.0.0.1:21101/v1/services/case-records/cases/1042/summary
echo

echo "== agreed clauses, put on file once"
curl -sf -H 'workspace: mediators' -H 'idempotency-key: file-1' -H 'attempt: 1' \
  -d 'parents agreed on alternate weekends' \
  http://127.0.0.1:21102/v1/services/case-records/clauses
echo

echo "== status"
"$bin/auburnctl" status --at "$operators" --token "$token"
