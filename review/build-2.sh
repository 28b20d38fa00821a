#!/bin/sh
# Builds what the cases 6 to 10 start, after the `build` line of the deploy file.  All of it is Python without
# dependencies, so that building it is compiling it; a file that can't be compiled ends the build.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/standins_2 review/6 review/7 review/8 review/9 review/10
