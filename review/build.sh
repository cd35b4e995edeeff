#!/bin/sh
# Builds the stand-ins and the drivers of the scripts in this folder.
set -e
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/harness ./harness
go build -o bin/rig ./rig
