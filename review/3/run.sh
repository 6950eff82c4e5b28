#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
cd "$(dirname "$0")/../.."
export PYTHONPATH="target/deps"
exec python3 review/3/case.py
