#!/bin/sh
# Compiles the stand-ins, which need nothing but the interpreter of the deploy file's build.
set -e
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../.venv/bin/python" -m compileall -q "$here"
