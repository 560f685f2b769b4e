#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start. Needs no network: the package
# uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
cargo build --release --locked --offline
