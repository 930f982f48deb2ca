#!/usr/bin/env bash
# Builds the stand-in that the scripts start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -tags review -o target/review-standin ./review/standin
