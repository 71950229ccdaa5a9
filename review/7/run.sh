#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0: without the
# disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -x "$root/target/siskinrill" ] || [ ! -x "$root/target/review-2/standin" ]; then
	echo "build first: the deploy file's build and review/build-2.sh"
	exit 2
fi
exec "$root/target/review-2/standin" -case owner -program "$root/target/siskinrill" -root "$root" -record record.txt
