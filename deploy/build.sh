#!/bin/sh
# Installs the runtime libraries and the deployed packages in target/deps.
set -eu
lock=deploy/runtime.lock
if [ ! -f target/deps/.lock ] || ! cmp -s "$lock" target/deps/.lock; then
  rm -rf target/deps
  python3 -m pip install -q --disable-pip-version-check --no-deps \
    --target target/deps -r "$lock"
  cp "$lock" target/deps/.lock
fi
rm -rf target/deps/waxwinglever_*
for folder in packages/*/src platform/src; do
  case "$folder" in packages/bench/*|packages/standins/*|packages/cli/*) continue;; esac
  cp -r "$folder"/. target/deps/
done
python3 -m compileall -q target/deps
