#!/usr/bin/env bash
# A hot expert: the group's map changes, `auburnctl` shows it with its reason, and no draft is cut.
set -euo pipefail
. "$(dirname "$0")/common.sh"

map_of() { ctl status | awk '$1 == "drafts-milimani" { print $5 }'; }
before=""
# A generation that was shown may be unknown again at the next look, until all slots have told theirs.
known() {
  before=$(map_of)
  [[ $before =~ ^[0-9]+$ ]]
}
await 20 known || fail "no map generation is shown"
for j in 0 1 2 3; do
  curl -sf -X POST -d '{"hot":[{"layer":0,"expert":3,"popularity":40},{"layer":1,"expert":3,"popularity":40}]}' \
    "http://127.0.0.1:$((21600 + j))/test/fault" >/dev/null || fail "the engine took no fault"
done
count=0
changed() {
  local now
  now=$(map_of)
  [[ $now =~ ^[0-9]+$ ]] && ((now > before))
}
until changed; do
  count=$((count + 1))
  ((count <= 2000)) || fail "no change of map came"
  draft 21100 "hot-$count" 20 | grep -q '"checksum"' || fail "draft $count was cut"
done
explained() { ctl explain drafts-milimani | grep ' reason=Gain'; }
await 10 explained || fail "the change is shown without its reason"
explained | tail -n 1
echo "the map went from generation $before to $(map_of) while $count drafts ran whole"
