#!/bin/sh
# Builds the stand-ins that the cases start: byte code of small Python programs, with the build's own Python.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -m compileall -q lib [0-9]
