#!/bin/sh
# Builds the stand-ins that the cases start. It needs Go alone, and no module but this one.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/rig ./rig
