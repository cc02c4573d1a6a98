#!/bin/sh
# Builds the programs of the cases 4 to 8 with the stand-ins that they start, the project's own too. Expects the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/main.ts review/[4-8]/worker.ts; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  case "$source" in */worker.ts) name="$name-worker" ;; esac
  node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=cjs --log-level=warning --outfile="target/review-2/case-$name.cjs"
done
