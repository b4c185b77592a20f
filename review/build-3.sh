#!/usr/bin/env bash
# Checks what the cases 11 to 15 start: the programs that the build of the
# deploy file has placed under target/, and the stand-ins, which need nothing
# but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
test -e target/deps/.installed
python3 -m compileall -q review/support-3
for case in review/1[1-5]; do
  if [ -e "$case/play.py" ]; then
    python3 -m compileall -q "$case/play.py"
  fi
done
