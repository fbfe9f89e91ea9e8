#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
if [ ! -x target/bin/toucanstepd ] || [ ! -x target/review/case-3 ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 target/review/case-3 "$PWD/target/bin/toucanstepd" "$folder" review/3/record.txt "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
