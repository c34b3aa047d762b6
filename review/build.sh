#!/usr/bin/env bash
# Checks that every stand-in that the scripts under review/ start can be run: they are Python modules, of the project
# (platform/standins) and of review/lib, and need no build. Byte code is written to a temporary folder only.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
export PYTHONPYCACHEPREFIX=$cache
for source in platform/standins/*.py review/lib/*.py review/[1-5]/*.py; do
    if [ -e "$source" ]; then
        python3 -m py_compile "$source"
    fi
done
test -x target/cardamomstep
