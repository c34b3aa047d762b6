#!/usr/bin/env bash
# Runs the case; see review/lib/run-case.sh.
. "$(dirname "$0")/../lib/run-case.sh"
