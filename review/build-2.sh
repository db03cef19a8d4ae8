#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python of the standard library, so
# there is nothing to install: this checks that each of them compiles.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins_2 6 7 8 9 10
