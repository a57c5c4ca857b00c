#!/bin/sh
# Checks that the stand-ins of the second review can start. They are Python
# modules beside the cases; nothing has to be compiled or installed.
cd "$(dirname "$0")/.." || exit 2
for file in review/site_2.py review/6/case.py review/7/case.py \
    review/8/case.py review/9/case.py review/10/case.py; do
    PYTHONDONTWRITEBYTECODE=1 python3 -c \
        "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" \
        "$file" || exit 1
done
test -d target/deps || {
    echo "build the deploy file first: target/deps is missing" >&2
    exit 1
}
