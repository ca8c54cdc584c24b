#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/rig3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/rig3 .
