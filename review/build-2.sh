#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
