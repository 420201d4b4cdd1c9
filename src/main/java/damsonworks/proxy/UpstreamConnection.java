package damsonworks.proxy;

import damsonworks.RoutingApi.Outcome;
import damsonworks.proxy.Exchange.Attempt;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * One connection to a server with the attempts on it, in the order in which their answers come. How an attempt
 * ends when the connection does hangs on whether its last byte was written: only then may it have run.
 */
final class UpstreamConnection {
    /** Turns an attempt into the server's protocol and its answers into calls of the methods below. */
    interface Codec {
        ChannelFuture write(Channel channel, Attempt attempt, InetSocketAddress dial);

        /** Whether part of an answer has come and the rest is awaited. */
        boolean within();
    }

    /**
     * An answer is written in one go, so one that takes this long from its first byte to its last is spoilt: a
     * length that does not fit, a line without end, a trickle. A node that pauses for longer within an answer
     * loses it, and the request one of its attempts.
     */
    private static final double ANSWER_MS = 150;
    /**
     * A connection rests this long after its last answer. Guards against a second answer or noise right behind
     * a good one, which would be read as the answer to whatever is sent next; over HTTP, where answers carry no
     * id, a client would get another key's value. Costs a further connection where requests follow that closely.
     */
    private static final double SETTLE_MS = 3;

    private final Upstream upstream;
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>(4);
    private Codec codec;
    private Channel channel;
    private InetSocketAddress dial;
    private boolean connected;
    private boolean closed;
    private boolean retired;
    private boolean spoilt;
    private int abandoned;
    private double idleSinceMs;
    private double answeredMs = Double.NEGATIVE_INFINITY;
    /** Since when part of an answer waits for the rest; NaN: none does. */
    private double withinSinceMs = Double.NaN;

    UpstreamConnection(Upstream upstream) {
        this.upstream = upstream;
        idleSinceMs = upstream.dispatcher().now();
    }

    Dispatcher dispatcher() {
        return upstream.dispatcher();
    }

    void use(Codec by) {
        codec = by;
    }

    void opening(ChannelFuture future, InetSocketAddress to) {
        channel = future.channel();
        dial = to;
        future.addListener(f -> {
            if (!f.isSuccess()) {
                closed();
                return;
            }
            connected = true;
            if (attempts.isEmpty()) {
                idleSinceMs = upstream.dispatcher().now();
                if (retired) {
                    close();
                }
            }
            attempts.forEach(this::write);
        });
    }

    int depth() {
        return attempts.size();
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    boolean closing() {
        return closed || retired;
    }

    /** Not closing, and no answer that nobody waits for stands before what would be sent. */
    boolean usable(int maxDepth) {
        return !closed && !retired && abandoned == 0 && attempts.size() < maxDepth
                && (!connected || channel.isActive() && channel.isWritable());
    }

    /** Whether what may yet follow the last answer has had its time to show. */
    boolean settled() {
        return !attempts.isEmpty() || upstream.dispatcher().now() - answeredMs >= SETTLE_MS;
    }

    boolean better(UpstreamConnection other) {
        return depth() != other.depth() ? depth() < other.depth() : idleSinceMs > other.idleSinceMs;
    }

    void send(Attempt attempt) {
        attempt.connection = this;
        attempts.add(attempt);
        if (connected) {
            write(attempt);
        }
    }

    private void write(Attempt attempt) {
        codec.write(channel, attempt, dial).addListener(f -> {
            if (f.isSuccess()) {
                attempt.written = true;
            }
        });
    }

    /**
     * The attempt is not waited for any more. Others may be on the connection, so it is closed only when none
     * on it is wanted; until then the answer is read and dropped. True if none of it was handed to the network,
     * as the connection was not up yet.
     */
    boolean giveUp(Attempt attempt) {
        if (attempt.abandoned) {
            return false;
        }
        if (!connected) {
            return attempts.remove(attempt);
        }
        if (attempts.contains(attempt)) {
            attempt.abandoned = true;
            if (++abandoned == attempts.size()) {
                close();
            }
        }
        return false;
    }

    /** Nothing more goes out on this connection; it ends once what is on it has been answered. */
    void retire() {
        retired = true;
        if (attempts.isEmpty() && connected) {
            close();
        }
    }

    /** An answer that has begun and does not end is spoilt. */
    void sweep(double now) {
        if (now - withinSinceMs > ANSWER_MS) {
            garbage("an answer that does not end");
        }
    }

    void close() {
        retired = true;
        if (channel != null) {
            channel.close();
        }
        if (attempts.isEmpty()) {
            closed(); // gives its place back now, not when the network is done with it
        }
    }

    // ---- what the codec has read

    /** The attempt whose answer comes next; null if none is out, so that what comes is not the protocol's. */
    Attempt head() {
        return attempts.peek();
    }

    /** Some bytes have been read and used as far as they go. */
    void readSome() {
        if (!codec.within()) {
            withinSinceMs = Double.NaN;
        } else if (Double.isNaN(withinSinceMs)) {
            withinSinceMs = upstream.dispatcher().now();
        }
    }

    /** An answer has come whole. {@code surplus}: more has come behind it. */
    void ended(Outcome outcome, int note, float[] report, ByteBuf answer, boolean surplus) {
        Attempt attempt = attempts.poll();
        withinSinceMs = Double.NaN;
        if (attempt.abandoned) {
            abandoned--;
        }
        if (attempts.isEmpty()) {
            idleSinceMs = answeredMs = upstream.dispatcher().now();
            retired |= surplus;
        }
        // Before the module hears of it, which may want to send at once.
        if (attempts.isEmpty() ? retired : abandoned == attempts.size()) {
            close();
        }
        upstream.dispatcher().end(attempt, outcome, note, report, answer);
    }

    /**
     * What came is not the protocol's: none of the attempts on the connection will have an answer. They end as
     * errors, which may have run; it is this connection that failed, and no sign that the server can't be
     * reached.
     */
    void garbage(String what) {
        if (spoilt || closed) {
            return;
        }
        spoilt = true;
        if (!attempts.isEmpty()) {
            upstream.dispatcher().log("bad answer of " + dial + ": " + what);
        }
        close();
        closed();
    }

    /** The connection never came up or has ended. */
    void closed() {
        if (closed) {
            return;
        }
        closed = true;
        upstream.closed(this);
        for (Attempt a; (a = attempts.poll()) != null;) {
            Outcome outcome = !a.written ? Outcome.CONNECT_FAILED : spoilt ? Outcome.ERROR : Outcome.RESET;
            upstream.dispatcher().end(a, outcome, 0, null, null);
        }
    }
}
