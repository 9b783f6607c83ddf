#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They use the standard library only, so no network is needed.
# Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
if [ -f "$HOME/.cargo/env" ]; then . "$HOME/.cargo/env"; fi
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc -O --edition 2021 "$source" -o "target/review-2/$name"
done
