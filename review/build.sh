#!/bin/sh
# Builds the stand-ins of the cases, which use the standard library only.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review/standin .
