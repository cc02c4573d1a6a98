#!/bin/sh
# Builds the stand-ins and scripts of the cases into target/review/.
set -e
cd "$(dirname "$0")/.."
for case in review/*/main.ts
do
  name=$(basename "$(dirname "$case")")
  node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 --format=esm --log-level=warning --outfile="target/review/$name.mjs"
done
