#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
case_folder="$PWD/review/4"
program="$PWD/review/standin/target/release/late_check_in"
[ -x "$program" ] && [ -x target/release/cuminarch-sidecar ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "$program" "$case_folder/record.txt" "$folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
