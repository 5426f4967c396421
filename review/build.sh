#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml
