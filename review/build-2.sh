#!/usr/bin/env bash
# Builds the stand-in of the second review's script. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/review-standin-2 ./review/standin-2
