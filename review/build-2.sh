#!/bin/sh
# Builds what the scripts of the second review start, besides the deploy file's own build.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2 review/standin-2/*.go
