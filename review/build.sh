#!/usr/bin/env bash
# Builds every program that the cases start beside the gateway: the stand-ins of this folder and the project's kelpcart-rig,
# which writes the links' test certificates.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p kelpcart-rig
cargo build --release --locked --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
