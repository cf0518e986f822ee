#!/bin/sh
# Checks the build of the deploy file and compiles the stand-ins, which use the
# standard library only. Writes below target/ only.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/waxwinglever_platform ] || {
  echo "run sh deploy/build.sh first" >&2
  exit 1
}
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review
