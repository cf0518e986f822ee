#!/usr/bin/env bash
# Creates the virtual environment unless it matches the lock file already.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${VENV:-.venv}
lock=requirements/main.lock
if ! cmp -s "$lock" "$dir/lock"; then
  python3.11 -m venv "$dir"
  "$dir/bin/pip" install --quiet --disable-pip-version-check -r "$lock"
  cp "$lock" "$dir/lock"
fi
