#!/bin/sh
# Builds the stand-ins of the scripts. They are plain Python without dependencies: compiling them shows that they can run.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins.py 1 2 3
