#!/bin/sh
# Installs the runtime libraries and the deployed packages in target/deps.
set -eu
lock=deploy/runtime.lock
packages="admission assignment framing hops model relay routing store telemetry"
if [ ! -f target/deps/.lock ] || ! cmp -s "$lock" target/deps/.lock; then
  rm -rf target/deps
  python3 -m pip install -q --disable-pip-version-check --no-deps \
    --target target/deps -r "$lock"
  cp "$lock" target/deps/.lock
fi
rm -rf target/deps/waxwinglever_*
for package in $packages; do
  cp -r "packages/$package/src"/. target/deps/
done
cp -r platform/src/. target/deps/
python3 -m compileall -q target/deps
