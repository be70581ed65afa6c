#!/bin/sh
# Jobs with many repetitions beside usual ones. TROUBLE=0 leaves them out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
program=$here/../../target/cranberrycrank
standin=$here/../bin/crankreview
[ -x "$program" ] && [ -x "$standin" ] || { echo "build the program and review/build.sh first" >&2; exit 2; }
exec "$standin" -case long-schedules -dir "$here" -program "$program"
