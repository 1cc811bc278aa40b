#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
CARGO_TARGET_DIR=../../target/review cargo build --release --offline --locked
