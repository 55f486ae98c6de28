#!/bin/sh
# Builds the stand-ins of the cases: the standard library only, no network.
set -e
cd "$(dirname "$0")/rig"
cargo build --release --offline --locked --target-dir target
