#!/bin/sh
# Compiles the cases and stand-ins of the second review, from the root of the repository. They use the Java
# library alone. Needs no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/second review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null \
    | xargs javac --release 17 -encoding UTF-8 -Xlint:all -d target/review-2
