#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They have no dependencies; the deploy file's build comes first.
set -e
cd "$(dirname "$0")/rig-2"
exec cargo build --release --locked --offline
