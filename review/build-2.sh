#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and later ones start, into a folder that git ignores.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TARGET_DIR="$PWD/target/review-2"
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml
