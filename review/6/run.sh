#!/bin/sh
# Exit 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
rig="$folder/../rig-2/target/release/review-rig-2"
[ -x "$rig" ] && [ -x "$folder/../../target/release/paddleproxy" ] || exit 2
exec "$rig" endless "$(cd "$folder/../.." && pwd)" "$folder"
