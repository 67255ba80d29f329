#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and on start. They need no dependency.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/platform/Cargo.toml --target-dir target/review-2
