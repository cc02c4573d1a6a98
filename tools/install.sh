#!/bin/sh
# Installs the dependencies from the lock file, unless they were installed after it last changed.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --no-audit --no-fund
fi
