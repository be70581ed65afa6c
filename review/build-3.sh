#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/rig-3 ./review/rig-3
