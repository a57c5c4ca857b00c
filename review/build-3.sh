#!/bin/sh
# Compiles the stand-ins of the cases 11 to 15, which are Python modules, and
# exports the build that `production` of the deploy file names, for case 12.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 -m compileall -q \
    standins/platform.py standins/platform_site.py review/site_3.py \
    review/1[1-5]/run.py || exit 1
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/system.toml)
rm -rf target/review-production
mkdir -p target/review-production
git archive "$commit" mulberryhollow | tar -x -C target/review-production
