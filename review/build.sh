#!/bin/sh
# Builds the stand-ins that the scripts start; they need nothing but Python itself.
# The entries are those of the deploy file's build, under target/deps.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common
test -d ../target/deps/lagoonpulley
