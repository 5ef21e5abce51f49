#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins3 ./review/standins3
