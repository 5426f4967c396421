#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline --manifest-path review/standin2/Cargo.toml
