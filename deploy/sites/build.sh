#!/bin/sh
# Builds this folder's sites from one of the operators' kit. Ends with 2 where there is no such site.
#   deploy/sites/build.sh PATH/TO/SITE.toml
set -eu
mkdir -p bin
go build -o bin/build-sites ./deploy/sites
exec bin/build-sites "$@"
