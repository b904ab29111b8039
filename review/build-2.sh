#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. No dependency and no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
