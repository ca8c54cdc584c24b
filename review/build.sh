#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The hosts themselves
# are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/rig"
go build -o ../bin/rig .
