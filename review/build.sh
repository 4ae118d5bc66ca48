#!/bin/sh
# Builds the stand-ins of the cases, which use the standard library only. The folder's name begins
# with an underscore, so that ./... leaves it out.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
GOFLAGS=-buildvcs=false go build -o target/review/standin ./review/_standin
