#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f "target/review/$(basename "$folder").mjs" ] || { echo "build first: the line build of the deploy file, then review/build.sh" >&2; exit 2; }
node "target/review/$(basename "$folder").mjs" "$folder"
