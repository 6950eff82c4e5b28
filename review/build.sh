#!/usr/bin/env bash
# Builds the stand-ins that the cases start: they are Python, so it only checks that they load
# with the libraries that the build of deploy/system.toml has brought.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review"
python3 -c "import engines, harness, standins"
