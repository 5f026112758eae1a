# Functions of the examples and drills: start and end a deployment of the Nairobi shape on loopback.
# Source it after `set -euo pipefail`; whatever it starts is ended by id when the script ends.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${AUBURNLINE_BIN:-$root/target/debug}
work=$(mktemp -d)
token=example-operator-token
domains=(milimani kibera makadara)
platform=127.0.0.1:21001
declare -A pid=()

finish() {
  local name
  for name in "${!pid[@]}"; do kill -CONT "${pid[$name]}" 2>/dev/null || true; done
  for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" 2>/dev/null || true; done
  for name in "${!pid[@]}"; do wait "${pid[$name]}" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

# run NAME PROGRAM ARGUMENT...: starts a process in the background.
run() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pid[$name]=$!
}

standin() {
  local name=$1
  shift
  run "$name" "$bin/auburnline-standin" "$@"
}

timing='{ "heartbeat_ms": 250, "silence_ms": 1000, "report_ms": 500 }'

# entry N: the settings and the process of entry N, from 1.
entry() {
  local n=$1 i=$(($1 - 1))
  cat >"$work/entry-$n.json" <<JSON
{ "instance": "entry-$n", "failure_domain": "${domains[$((i % 3))]}",
  "caller": "127.0.0.1:$((21100 + i))", "peer": "127.0.0.1:$((21200 + i))",
  "operator": "127.0.0.1:$((21300 + i))", "operator_token": "$token",
  "platform": "$platform", "seeds": ["127.0.0.1:$((21200 + (i + 1) % 6))", "127.0.0.1:21400"],
  "timing": $timing }
JSON
  run "entry-$n" "$bin/auburnline-entry" --settings "$work/entry-$n.json"
}

# slot NAME N KIND DOMAIN: the settings and the process of the slot at place N.
slot() {
  local name=$1 j=$2 kind=$3 domain=$4
  cat >"$work/$name.json" <<JSON
{ "instance": "$name", "failure_domain": "$domain",
  "peer": "127.0.0.1:$((21400 + j))", "operator": "127.0.0.1:$((21500 + j))",
  "operator_token": "$token", "platform": "$platform", "seeds": ["127.0.0.1:21200", "127.0.0.1:21201"],
  "upstream": "127.0.0.1:$((21600 + j))", "upstream_kind": "$kind",
  "lock": "127.0.0.1:$((21700 + j))", "timing": $timing }
JSON
  run "$name" "$bin/auburnline-slot" --settings "$work/$name.json"
}

# publish REVISION PRESET [FOLDER]: puts a configuration into the platform's stand-in.
publish() {
  local folder=${3:-$root/examples/nairobi} key file
  "$bin/auburnctl" config publish-form --revision "$1" --preset "$2" "$folder" >"$work/form"
  while read -r key file || [ -n "$key" ]; do
    case $key in
      section/*) curl -sf -X PUT --data-binary "@$file" "http://$platform/test/values/$key" >/dev/null ;;
      manifest) printf '%s' "$file" >"$work/manifest" ;;
    esac
  done <"$work/form"
  curl -sf -X PUT --data-binary "@$work/manifest" "http://$platform/test/values/manifest" >/dev/null
}

# all_instances: a JSON list of every instance.
all_instances() {
  local names=() n
  for n in 1 2 3 4 5 6; do names+=("\"entry-$n\""); done
  for n in 01 02 03 04 05 06 07 08 09 10 11 12; do names+=("\"draft-$n\""); done
  for n in 1 2 3; do names+=("\"records-$n\""); done
  local IFS=,
  echo "[${names[*]}]"
}

operators=$(for i in 0 1 2 3 4 5; do printf '127.0.0.1:%d,' $((21300 + i)); done
  for j in 0 1 2 3 4 5 6 7 8 9 10 11 12 13 14; do printf '127.0.0.1:%d,' $((21500 + j)); done)
operators=${operators%,}

# await SECONDS COMMAND...: tries a command until it succeeds.
await() {
  local until=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= until)); then
      echo "gave up: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

ready() { curl -sf "http://$1/ready"; }

# deploy: everything of the Nairobi shape, ready to serve.
deploy() {
  standin platform platform --listen "$platform"
  standin weights weights --listen 127.0.0.1:21002
  local j n name
  for j in 0 1 2 3 4 5 6 7 8 9 10 11; do
    name=$(printf 'draft-%02d' $((j + 1)))
    local followers=()
    if ((j % 4 == 0)); then
      for n in 1 2 3; do followers+=(--follower "127.0.0.1:$((21600 + j + n))"); done
    fi
    standin "engine-$name" engine --listen "127.0.0.1:$((21600 + j))" --ranks 1 \
      --first-rank $((j % 4)) --group-ranks 4 --model clauses:1 "${followers[@]}"
    slot "$name" "$j" engine "${domains[$((j / 4))]}"
  done
  for n in 1 2 3; do
    j=$((11 + n))
    standin "service-records-$n" service --listen "127.0.0.1:$((21600 + j))"
    slot "records-$n" "$j" service "${domains[$((n - 1))]}"
  done
  await 10 curl -sf "http://$platform/test/calls"
  curl -sf -X PUT --data-binary "{\"version\":1,\"live\":$(all_instances),\"leaving\":[]}" \
    "http://$platform/test/instances" >/dev/null
  publish 1 ordinary
  for n in 1 2 3 4 5 6; do entry "$n"; done
  await 20 serving
}

# serving: whether a draft and a record can be had through the first entry.
serving() {
  curl -sf -m 2 http://127.0.0.1:21100/v1/entries >/dev/null &&
    curl -sf -m 2 -H 'workspace: mediators' http://127.0.0.1:21100/v1/services/case-records/cases/1/summary &&
    curl -sf -m 2 -H 'workspace: mediators' -H 'content-type: application/json' \
      -d '{"model":"clauses","prompt":"ready","max_tokens":1,"idempotent":true}' \
      http://127.0.0.1:21100/v1/drafts
}
