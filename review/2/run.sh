#!/usr/bin/env bash
# Runs the case; with TROUBLE=0 without its disruption. Exit status: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -f ../target/classes/SmallChunks.class ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
exec java -Xmx384m -Dreview.root="$root" -cp ../target/classes SmallChunks record.txt
