#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review, after the build of the deploy file. The deploy file's packages
# are enough for it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/standins/*.cpp; do
    object="target/review/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object"
    objects+=("$object")
done
for number in review/[0-9]; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$number/Case.cpp" "${objects[@]}" -o "target/review/case-${number##*/}"
done
