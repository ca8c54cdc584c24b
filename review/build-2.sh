#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Standard library only.
cd "$(dirname "$0")/rig2" || exit 2
exec env GOPROXY=off go build -o ../../target/rig2 .
