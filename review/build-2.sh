#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lab2 review/6 review/7 review/8 review/9 review/10 review/trials
