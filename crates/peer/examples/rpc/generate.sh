#!/usr/bin/env bash
# Writes stream_capnp.rs from the schema; needs `capnp` and `capnpc-rust` 0.27 on the PATH.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -orust stream.capnp
