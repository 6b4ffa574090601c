#!/bin/sh
# Builds the site files of this folder from a site file of the operators' kit. Exits with status 2 if that fails.
#   deploy/sites/build.sh PATH/TO/SITE.toml
set -eu
mkdir -p bin
go build -o bin/build-sites ./deploy/sites
exec bin/build-sites "$@"
