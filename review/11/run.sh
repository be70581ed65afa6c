#!/usr/bin/env bash
# Consumers hand jobs in to a frozen instance, give up and cancel them at another one.
# Exits with 1 if a task of a cancelled job is started too late, 0 if not, 2 if it can't run.
# TROUBLE=0 plays it without the freeze.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rig-3 ] && [ -x target/cranberrycrank ] || { echo "run the build of the deploy file and review/build-3.sh first" >&2; exit 2; }
exec target/rig-3 frozen review/11/record.txt
