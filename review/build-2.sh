#!/usr/bin/env bash
# Builds what the scripts of the cases of REPORT-2.md start beside the build of the deploy file: the project's rig, for the test
# certificates of links, and the stand-ins with the drivers of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --package kelpcart-rig
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml
