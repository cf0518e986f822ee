#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python sources that use
# the standard library only, so building them is compiling them once.
set -eu
cd "$(dirname "$0")/.."
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
for source in review/lib-2/*.py review/lib-2/trials/*.py review/[6-9]/*.py review/10/*.py; do
  [ -f "$source" ] || continue
  PYTHONPYCACHEPREFIX="$cache" python3 -S -m py_compile "$source"
done
