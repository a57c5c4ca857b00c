#!/bin/sh
# Compiles the stand-ins of the cases 11 to 15: they are Python modules, of
# this folder and of the project.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps exec python3 -m compileall -q \
    standins/platform.py standins/platform_site.py review/site_3.py \
    review/1[1-5]/run.py
