#!/bin/sh
# Builds the stand-ins and drivers that the scripts of the second review start. They use the standard
# library only, and none of the project's own stand-ins.
set -e
cd "$(dirname "$0")/standins-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --offline --locked
