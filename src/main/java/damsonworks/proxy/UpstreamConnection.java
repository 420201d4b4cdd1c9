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
    }

    /** A server pauses for 0.1 s at most within an answer; one that stops for this long will not go on. */
    private static final double STALLED_MS = 3000;

    private final Upstream upstream;
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>(4);
    private Codec codec;
    private Channel channel;
    private InetSocketAddress dial;
    private boolean connected;
    private boolean closed;
    private boolean retired;
    private boolean held;
    private int givenUp;
    private double idleSinceMs;
    private double progressMs;
    private boolean begun;

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

    /** Not closing, and no answer that nobody waits for stands before what would be sent. */
    boolean usable(int maxDepth) {
        return !closed && !retired && givenUp == 0 && attempts.size() < maxDepth
                && (!connected || channel.isActive() && channel.isWritable());
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
        if (!connected) {
            return attempts.remove(attempt);
        }
        if (attempts.contains(attempt) && ++givenUp == attempts.size()) {
            close();
        }
        return false;
    }

    /** The server takes no more on this connection once what is on it has been answered. */
    void retire() {
        retired = true;
    }

    /** Stops reading while the client can't take more. */
    void hold(boolean on) {
        if (held != on) {
            held = on;
            progressMs = upstream.dispatcher().now();
            channel.config().setAutoRead(!on);
        }
    }

    void sweep(double now) {
        if (begun && !held && now - progressMs > STALLED_MS) {
            close();
        }
    }

    void close() {
        retired = true;
        if (channel != null) {
            channel.close();
        }
    }

    // ---- what the codec has read

    /** The attempt whose answer comes next; null if none is out, so that what comes is not the protocol's. */
    Attempt head() {
        return attempts.peek();
    }

    /** A short answer or a long one's end has come whole. */
    void ended(Outcome outcome, int note, float[] report, ByteBuf answer) {
        Attempt attempt = attempts.poll();
        begun = false;
        if (attempt.ended) {
            givenUp--;
        }
        if (attempts.isEmpty()) {
            idleSinceMs = upstream.dispatcher().now();
        }
        hold(false);
        upstream.dispatcher().end(attempt, outcome, note, report, answer);
        if (attempts.isEmpty() ? retired : givenUp == attempts.size()) {
            close();
        }
    }

    /** A long answer begins; false if nobody waits for it, so that it is to be dropped. */
    boolean begin(ByteBuf head) {
        begun = true;
        progressMs = upstream.dispatcher().now();
        return upstream.dispatcher().begin(attempts.peek(), head);
    }

    /** Part of a long answer that was begun; takes the buffer over. */
    void part(ByteBuf part) {
        progressMs = upstream.dispatcher().now();
        upstream.dispatcher().part(attempts.peek(), part);
    }

    /** What came is not the protocol's. */
    void garbage(String what) {
        upstream.dispatcher().log("bad answer of " + dial + ": " + what);
        close();
    }

    /** The connection never came up or has ended. */
    void closed() {
        if (closed) {
            return;
        }
        closed = true;
        upstream.closed(this);
        for (Attempt a; (a = attempts.poll()) != null;) {
            Outcome outcome = a.written ? Outcome.RESET : Outcome.CONNECT_FAILED;
            upstream.dispatcher().end(a, outcome, 0, null, null);
        }
    }
}
