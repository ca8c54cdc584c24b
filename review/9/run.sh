#!/bin/sh
# Case 9 as a script: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec target/rig2 near-cpu "$folder"
