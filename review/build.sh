#!/bin/sh
# Compiles the stand-ins that the scripts of the review start.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. python3 -m compileall -q review standins tools
