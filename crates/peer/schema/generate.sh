#!/usr/bin/env bash
# Writes src/peer_capnp.rs from the schema, and the digests that the test compares.
# Needs `capnp` and `capnpc-rust` 0.27 on the PATH; only for a change of the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -orust:src --src-prefix=schema schema/peer.capnp
sha256sum schema/peer.capnp src/peer_capnp.rs > schema/digests
