#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in 1 2 3; do
  go build -o "review/bin/case$case" "./review/$case"
done
