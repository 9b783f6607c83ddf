#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. The hosts themselves come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
if [ -f "$HOME/.cargo/env" ]; then . "$HOME/.cargo/env"; fi
mkdir -p target/review
for source in review/standins/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" = common ]; then continue; fi
    rustc --edition 2021 -O -o "target/review/$name" "$source"
done
