#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They have no dependencies.
cd "$(dirname "$0")/standins-3" || exit 1
exec cargo build --release --locked --offline
