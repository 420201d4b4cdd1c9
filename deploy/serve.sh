#!/bin/sh
# Starts the proxy, with the arguments of serve, in a JVM cut to the memory limit that its configuration names
# (DEPLOY: as low as 32 MB).
# Heap, direct memory, metaspace and code are all given a bound. The heap is taken whole at the start: what is
# there from the first second does not grow, and the limit is met on the first day or not at all.
# Up to exec the shell does all by itself: where other programs are refused (FLEET), $(...) or a pipe is no start at all.
# The configuration may be one line of many kilobytes, the list of nodes ahead of the limits: it is cut at its commas first,
# as a pattern over all of it takes the square of its length (1.6 s for 200 nodes; cut up, 0.01 s).
mb=
if [ -r "$BALANCER_CONFIG" ]; then
    set -f
    while IFS= read -r line || [ -n "$line" ]; do
        IFS=,
        for entry in $line; do
            case "$entry" in *'"memory_mb"'*)
                entry=${entry#*'"memory_mb"'}
                entry=${entry#"${entry%%[0-9]*}"}
                mb=${entry%%[!0-9]*}
                break 2 ;;
            esac
        done
    done <"$BALANCER_CONFIG"
    unset IFS
    set +f
fi
case "$mb" in '' | *[!0-9]* | ????*) mb=128 ;; esac
if [ "$mb" -ge 96 ]; then
    heap=32 direct=$((mb / 4)) meta=32 code=16
elif [ "$mb" -ge 64 ]; then
    heap=20 direct=10 meta=24 code=12
else
    heap=$((mb / 3)) direct=$((mb / 8)) meta=20 code=8
fi
archive="-XX:SharedArchiveFile=target/cacheproxy.jsa"
if [ -n "$REHEARSAL" ]; then
    archive="-XX:ArchiveClassesAtExit=$REHEARSAL"
fi
# A start is what decides the first seconds on part of a core: methods are compiled after a hundred calls, with little
# inlined, so that a request soon costs what it will; neither JFR nor a search for a selector is loaded.
exec java -XX:+UseSerialGC -XX:ActiveProcessorCount=1 -XX:TieredStopAtLevel=1 -XX:Tier3InvocationThreshold=100 \
    -XX:Tier3MinInvocationThreshold=50 -XX:Tier3CompileThreshold=500 -XX:C1MaxInlineLevel=3 -XX:C1MaxInlineSize=20 \
    -Xshare:auto "$archive" -Xlog:cds=off -Xlog:cds+dynamic=off -Xms${heap}m -Xmx${heap}m -Xmn$((heap / 3))m \
    -XX:+AlwaysPreTouch -XX:MaxDirectMemorySize=${direct}m -XX:MaxMetaspaceSize=${meta}m \
    -XX:ReservedCodeCacheSize=${code}m -Xss512k -XX:-UsePerfData -Dio.netty.jfr.enabled=false \
    -Djava.nio.channels.spi.SelectorProvider=sun.nio.ch.EPollSelectorProvider -Dio.netty.allocator.type=pooled \
    -Dio.netty.allocator.numHeapArenas=1 -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.maxOrder=4 \
    -jar target/cacheproxy.jar serve "$@"
