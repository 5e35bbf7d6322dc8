#!/usr/bin/env bash
# Compiles the stand-ins and the cases, after the build command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:$PWD:$PWD/review/common-3"
python3 -m compileall -q standins review/common-3 review/1[1-5]
python3 -c 'import engine, fleet; import standins.path_engine, standins.row_store'
