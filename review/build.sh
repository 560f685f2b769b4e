#!/bin/sh
# Builds the stand-ins that the scripts of the review start. They need no library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
