#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/bin/threadsail" ] && [ -x "$root/review/bin/rig" ] || {
	echo "could not run: build the deploy file and review/build.sh first"
	exit 2
}
exec timeout -k 5 115 "$root/review/bin/rig" halfcommands "$root" "$here"
