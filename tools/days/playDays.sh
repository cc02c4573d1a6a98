#!/bin/sh
# Runs the test days of deploy/days on a site and prints the result line of each, and all output of the bench before
# its table (violated rules, processes that exited unexpectedly).
# Usage: sh tools/days/playDays.sh BENCH SITE.toml [PATTERN]
set -u
bench=$1
site=$2
pattern=${3:-.}
for day in deploy/days/*.toml; do
  name=$(basename "$day" .toml)
  echo "$name" | grep -q -- "$pattern" || continue
  out=$("$bench" run "$site" "$day" --jobs 1 --why "own day: $name" 2>&1)
  printf '%s\n' "$out" | sed -n '/^day  /q;p' | grep -v '^built in' | cut -c1-300
  line=$(printf '%s\n' "$out" | sed -n '/^day  /{n;p;q}')
  printf '%s\n' "${line:-$name was not played: $(printf '%s\n' "$out" | tail -1)}"
done
