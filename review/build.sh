#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -A dead_code -o target/review/standin review/standin/main.rs
