#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10. Needs the toolchain only, no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
