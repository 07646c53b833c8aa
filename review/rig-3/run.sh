#!/usr/bin/env bash
# Runs a case: its folder, and the name of its program.  Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/target/review-3/$2
[ -x "$program" ] && [ -x "$root/target/build/daemon/wisterialeadd" ] || {
	echo "2: build the deploy file's build and review/build-3.sh first"
	exit 2
}
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 5 112 "$program" "$root" "$work" "$folder/record.txt"
code=$?
[ $code -le 1 ] || code=2
exit $code
