#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and later start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stand3 ./review/_stand3
