#!/bin/sh
# Builds the programs of the cases 6 to 10, with the stand-ins that they contain, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 6 7 8 9 10; do
  if [ -d "review/$n" ]; then
    go build -o "review/bin/case-$n" "./review/$n"
  fi
done
