#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
case=$here/case
[ -x "$case" ] && [ -x target/peridot-ingress ] || exit 2
LAB_WORK=$(mktemp -d) || exit 2
export LAB_WORK
"$case" "$here/record.txt"
status=$?
rm -rf "$LAB_WORK"
exit $status
