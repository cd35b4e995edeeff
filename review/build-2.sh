#!/bin/sh
# Builds the stand-ins of the cases 6 and up. They need no network and no dependency.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review2
go build -o ../target/review2/rig2 ./rig2
