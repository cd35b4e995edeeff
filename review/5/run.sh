#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] || { echo "cannot run: review/build.sh first"; exit 2; }
exec review/bin/harness turns review/5
