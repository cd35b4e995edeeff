#!/bin/sh
# A worker that is taken away at short notice while it runs streams. See claim.txt.
cd "$(dirname "$0")" || exit 2
CASE_DIR=$PWD
ENTRY=$(cd ../.. && pwd)/target/fulmarcross-entry
export CASE_DIR ENTRY
[ -x ../bin/rig ] && [ -x "$ENTRY" ] || exit 2
exec ../bin/rig cutshort
