#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
timeout -k 2 115 "review/bin/case-$(basename "$here")" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
