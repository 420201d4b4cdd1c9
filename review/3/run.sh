#!/bin/sh
# Runs the case after the build of the deploy file and review/build.sh, and writes record.txt beside this script.
# TROUBLE=0 runs it without the disruption. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -f target/cacheproxy.jar ] || [ ! -f review/out/CrowdAndReader.class ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
export TROUBLE="${TROUBLE:-1}"
# The driver ends every process that it has started, also when it fails or is ended by a signal.
exec java -Xmx256m -cp review/out CrowdAndReader "$here"
