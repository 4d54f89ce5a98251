#!/bin/bash
# Plays this case; see claim.txt. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of deploy/balancer.toml and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
command=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$root/deploy/balancer.toml")
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$root/build-review-2/case-$(basename "$here")" "$root" "$command" "$folder" "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
