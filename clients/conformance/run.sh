#!/usr/bin/env bash
# Runs the published client libraries against the demo's routers. Needs Python 3 with venv and its package registry.
set -euo pipefail
cd "$(dirname "$0")/../.."
venv=target/conformance
if ! [ -x "$venv/bin/python" ]; then
    python3 -m venv "$venv"
fi
"$venv/bin/python" -m pip install -q --disable-pip-version-check -r clients/conformance/requirements.txt
cargo build --release --locked --bin paddleproxy
"$venv/bin/python" clients/conformance/check.py target/release/paddleproxy
