#!/usr/bin/env bash
# Builds the stand-ins of the cases review/4 to review/8 into target/review-2/, after the build of the deploy file, whose libraries
# and packages they use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
own=$(find review/standins-2 -name '*.cpp' ! -name 'adapters.cpp' ! -name 'uploads.cpp' ! -name 'readers.cpp')
includes=(-Ireview/standins-2)
for package in packages/*/; do
    includes+=("-I${package}include")
done
for main in uploads readers adapters; do
    # shellcheck disable=SC2086
    g++ -std=c++20 -O1 -Wall -Wextra -DRAPIDJSON_HAS_STDSTRING=1 "${includes[@]}" -o "$out/$main" "review/standins-2/$main.cpp" $own \
        target/packages/http1/libtoucanstep_http1.a target/packages/io/libtoucanstep_io.a target/packages/base/libtoucanstep_base.a \
        $(pkg-config --libs absl_strings absl_flat_hash_map absl_hash libglog libcrypto) -lhttp_parser -pthread
done
