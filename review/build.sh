#!/usr/bin/env bash
# Builds the stand-ins; they need Python's standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
