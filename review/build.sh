#!/usr/bin/env bash
# The stand-ins of the scripts need the standard library only: check that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
