#!/bin/sh
# Builds the stand-ins and the driver of the scripts in this folder.
set -e
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/harness ./harness
