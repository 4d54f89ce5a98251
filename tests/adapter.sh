#!/bin/bash
# Tests the simulator adapter as a process. It must answer a valid batch. On a malformed line, or input
# that ends inside a line or a batch, it must print one line with the line number on standard error, print
# nothing more on standard output, and exit with a nonzero status. Usage: adapter.sh COMMAND
set -euo pipefail
command=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

settings='categories.count=1 categories.0.name=view categories.0.sloMs=500 categories.0.deadlineMs=1000'
settings+=' categories.0.importance=1 categories.0.idempotency=pure unknown.key=1'
start="TURN 1\nINSTANCE 1\nCREATE 5 $settings\nSNAPSHOT_ROWS 0 1\nENTRY h1 z k 0 up 1 -\nREGISTRY 0 1 C\nEOF_BATCH\n"
count=0

run_adapter() {  # run_adapter INPUT: sets $exit; the outputs are in $work/out and $work/err
  exit=0
  printf '%b' "$1" | sh -c "$command" >"$work/out" 2>"$work/err" || exit=$?
  count=$((count + 1))
}
fail() { echo "adapter: $1"; cat "$work/out" "$work/err"; exit 1; }

expect_line() {  # expect_line WHAT INPUT LINE: the reply contains LINE
  run_adapter "$2"
  [ "$exit" -eq 0 ] || fail "$1: exit $exit"
  [ ! -s "$work/err" ] || fail "$1: not silent on standard error"
  grep -qx -- "$3" "$work/out" || fail "$1: no '$3'"
}
expect_error() {  # expect_error WHAT INPUT LINE_NUMBER REPLIES: an error at that line after so many replies
  run_adapter "$2"
  [ "$exit" -ne 0 ] || fail "$1: exit 0"
  [ "$(wc -l <"$work/err")" -eq 1 ] || fail "$1: not one line on standard error"
  grep -q "line $3: " "$work/err" || fail "$1: line $3 not named"
  [ "$(grep -cx OK "$work/out" || true)" -eq "$4" ] || fail "$1: not $4 replies"
}

expect_line "empty batch" "TURN 1\nEOF_BATCH\n" OK
expect_line "no input" "TURN 1\nEOF_BATCH\nTURN 2\nEOF_BATCH\n" OK
expect_line "a request" "${start}TURN 2\nINSTANCE 1\nKNOCK t/1 view - - 400 - 0\nEOF_BATCH\n" "PASS_ON t/1 h1 .*"
expect_error "unknown message" "TURN 1\nBOGUS\n" 2 0
expect_error "bad number" "${start}TURN 2\nINSTANCE 1\nKNOCK t/1 view - - x - 0\nEOF_BATCH\n" 10 1
expect_error "bad outcome" "${start}TURN 2\nINSTANCE 1\nCOMPLETED t/1 0 h1 99 1 5 -\nEOF_BATCH\n" 10 1
expect_error "settings that cannot work" "TURN 1\nINSTANCE 1\nCREATE 5 categories.0.name=a\n" 3 0
expect_error "input ends inside a line" "${start}TURN 2\nINSTA" 9 1
expect_error "input ends inside a batch" "${start}TURN 2\n" 8 1
expect_error "input ends inside a list" "TURN 1\nSNAPSHOT_ROWS 0 2\nENTRY h1 z k 0 up 1 -\n" 3 0
expect_error "event of no instance" "TURN 1\nINSTANCE 9\nFIRED sweep\n" 3 0
echo "adapter: $count cases"
