#!/bin/sh
# Builds the stand-ins that the review's scripts start. Run from anywhere, after the deploy file's build.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin review/standin/*.go
