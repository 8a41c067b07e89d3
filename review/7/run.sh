#!/bin/sh
# Runs the case. It ends with 1 if the rule was broken, 0 if it held, 2 if the case can't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
folder=$PWD
cd ../.. || exit 2
if [ ! -x bin/threadsail ] || [ ! -x review/bin/rig2 ]; then
	echo "build first: the command of deploy/balancer.toml, and review/build-2.sh"
	exit 2
fi
exec review/bin/rig2 halfwritten "$folder/record.txt"
