#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target && go build -o target/review2-drive ./review/_drive2
