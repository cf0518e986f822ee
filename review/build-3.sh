#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start.
#
# They need Python's own library alone, so that building them is compiling them
# in memory: nothing is written and nothing is fetched. The daemon itself comes
# from deploy/build.sh.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.py 1[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
