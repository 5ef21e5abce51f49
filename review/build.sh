#!/bin/sh
# Builds the stand-ins that the cases start. The gateway is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin
