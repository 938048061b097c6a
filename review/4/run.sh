#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-4 ] && [ -x target/release/kingcupspan ] || exit 2
exec target/review/case-4 "$PWD" "$PWD/review/4/record.txt"
