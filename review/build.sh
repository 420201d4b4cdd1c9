#!/bin/sh
# Compiles the stand-ins and the test drivers of all cases into review/out, with the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir out
find . -name '*.java' -not -path './out/*' >out/sources
javac -Xlint:all -encoding UTF-8 -d out @out/sources
