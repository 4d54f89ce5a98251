#!/bin/bash
# Runs case N: review/case.sh N. Each case's run.sh calls it. Exit code 1: the rule was broken; 0: it held; 2: no verdict.
here="$(cd "$(dirname "$0")" && pwd)"
export ROOT="${here%/*}"
RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
export RUN
export RECORD="$here/$1/record.txt"
if [ ! -x "$here/bin/case$1" ] || [ -z "$RUN" ]; then
  echo "not built: first the build of deploy/balancer.toml, then review/build.sh"
  exit 2
fi
WORK=$(mktemp -d) || exit 2
export WORK
export TMPDIR="$WORK"
trap 'rm -rf "$WORK"' EXIT
timeout -k 2 115 "$here/bin/case$1"
code=$?
{ echo "--- the program's log, its last lines"; tail -n 40 "$WORK"/*.log; } >> "$RECORD" 2>/dev/null
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
