package damsonworks.proxy;

import damsonworks.limits.DoorRules;
import damsonworks.proxy.Exchange.Command;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One client's connection: reads commands, hands requests to the dispatcher and writes the answers in the
 * commands' order, each once. Closes only between requests.
 */
final class ClientConnection extends ByteToMessageDecoder implements DoorRules.Guest {
    /** Commands in hand on one connection; guards memory against a client that only writes. */
    private static final int MAX_PIPELINED = 16;
    /** So many whole commands in one read are a flood: none of them is taken. */
    private static final int FLOOD = 2 * MAX_PIPELINED;
    /** A connection that is to close waits so long for the client's end, so that no answer is cut by a reset. */
    private static final long LINGER_MS = 300;
    /** A client takes 2 s at most to write a command, and has no use for a connection that it says nothing on. */
    private static final double SILENT_MS = 2200;
    /** A client that takes none of its answers for so long gets no more. */
    private static final double UNREAD_MS = 5000;
    /**
     * An error is told after this time, but within {@link #ERROR_BY_MS} of the connection's start. Guards usual
     * clients against those who send at full speed and come again as soon as they are turned away: these now
     * come once a second each. A client with a mere slip in its command waits as long for its error.
     */
    private static final double ERROR_AFTER_MS = 1000;
    private static final double ERROR_BY_MS = 2000;
    /** A connection with more errors than this is closed, though its commands could be told apart. */
    private static final int MAX_ERRORS = 3;

    private final Dispatcher dispatcher;
    private final Runnable asking;
    private final ArrayDeque<Exchange> exchanges = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    /** The write whose value is being read, with the bytes still to come. */
    private Command incoming;
    private int missing;
    private int reserved;
    /** What the incoming write will be answered at once, as its value is not kept; null: it is. */
    private String refusal;
    private boolean closing;
    private boolean finished;
    private boolean readPaused;
    private boolean penalised;
    private int errors;
    private boolean asked;
    private long answered;
    /** Of answers that the connection has not taken yet: closing it would cut them off. */
    private int owedBytes;
    private double bornMs;
    private double activeMs;
    /** Since when part of a command has waited for the rest; NaN: none does. */
    private double partSinceMs = Double.NaN;

    /** @param asking told when it asks for the first time */
    ClientConnection(Dispatcher dispatcher, Runnable asking) {
        this.dispatcher = dispatcher;
        this.asking = asking;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
        bornMs = activeMs = dispatcher.now();
    }

    /** Between requests: nothing owed and nothing begun. */
    boolean idle() {
        return exchanges.isEmpty() && incoming == null && owedBytes == 0 && actualReadableBytes() == 0;
    }

    @Override
    public boolean busy() {
        return !idle();
    }

    @Override
    public long answered() {
        return answered;
    }

    /** Nothing that it asked was ever answered, and nothing that it asked is open: the first to make room. */
    @Override
    public boolean useless() {
        return penalised || finished || answered == 0 && exchanges.isEmpty() && owedBytes == 0;
    }

    @Override
    public double sinceMs() {
        return activeMs;
    }

    /** Whether it says nothing, goes not on with what it has begun, or does not take what it asked for. */
    boolean stalled(double now) {
        return !penalised && (now - partSinceMs > SILENT_MS
                || answered == 0 && exchanges.isEmpty() && now - bornMs > SILENT_MS
                || !ctx.channel().isWritable() && now - activeMs > UNREAD_MS);
    }

    void close() {
        ctx.close();
    }

    // ---- commands

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (closing) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (penalised || exchanges.size() >= MAX_PIPELINED || !ctx.channel().isWritable()) {
            pauseReading();
            return;
        }
        try {
            if (incoming != null) {
                value(in);
            } else {
                if (exchanges.isEmpty()) {
                    checkFlood(in);
                }
                String line = MetaCodec.line(in);
                if (line != null) {
                    command(line);
                }
            }
        } catch (MetaCodec.SyntaxException e) {
            // What follows can't be told apart any more.
            closing = true;
            error("CLIENT_ERROR " + e.getMessage());
        }
    }

    /** Counts lines only up to a value, which may hold anything. */
    private static void checkFlood(ByteBuf in) throws MetaCodec.SyntaxException {
        int lines = 0;
        for (int at = in.readerIndex(); lines <= FLOOD; lines++) {
            int end = in.indexOf(at, in.writerIndex(), (byte) '\n');
            if (end < 0 || end > at + 1 && in.getByte(at) == 'm' && in.getByte(at + 1) == 's') {
                return;
            }
            at = end + 1;
        }
        throw new MetaCodec.SyntaxException("too many commands at once");
    }

    private void command(String line) throws MetaCodec.SyntaxException {
        if (line.equals("mn")) {
            say("MN");
            return;
        }
        boolean write = line.startsWith("ms ");
        if (!write && !line.startsWith("mg ")) {
            error("ERROR");
            return;
        }
        // The length comes first: with it the value of a command that is no good can be read past.
        int length = write ? MetaCodec.length(MetaCodec.wordAt(line, 4 + MetaCodec.wordAt(line, 3).length()),
                MetaCodec.MAX_VALUE) : 0;
        Command command = MetaCodec.command(line, write);
        String bad = command == null ? "bad command line format" : dispatcher.unusable(command);
        if (write) {
            incoming = command;
            missing = length + 2;
            refusal = bad != null ? bad : dispatcher.reserve(missing) ? null : MetaCodec.BUSY;
            if (refusal == null) {
                reserved = missing;
                incoming.value = ctx.alloc().buffer(Math.min(missing, 16 << 10), missing);
            } else {
                incoming = new Command("", "", true, "", "", "");
            }
        } else if (bad != null) {
            error("CLIENT_ERROR " + bad);
        } else {
            take(command);
        }
    }

    private void value(ByteBuf in) throws MetaCodec.SyntaxException {
        int n = Math.min(missing, in.readableBytes());
        missing -= n;
        if (refusal != null) {
            in.skipBytes(n);
        } else {
            incoming.value.writeBytes(in, n);
        }
        if (missing > 0) {
            return;
        }
        Command command = incoming;
        incoming = null;
        if (refusal == null) {
            int end = command.value.writerIndex();
            if (command.value.getByte(end - 2) != '\r' || command.value.getByte(end - 1) != '\n') {
                dropValue(command);
                throw new MetaCodec.SyntaxException("bad data chunk");
            }
            reserved = 0; // given back when the request is over
            take(command);
        } else if (refusal.equals(MetaCodec.BUSY)) {
            say(MetaCodec.BUSY); // no room for the value; nothing was sent on
        } else {
            error("CLIENT_ERROR " + refusal);
        }
    }

    private void take(Command command) {
        Exchange exchange = new Exchange(this, command);
        exchanges.add(exchange);
        activeMs = dispatcher.now();
        if (!asked) {
            asked = true;
            asking.run();
        }
        dispatcher.take(exchange);
    }

    private void dropValue(Command command) {
        command.release();
        dispatcher.giveBack(reserved);
        reserved = 0;
    }

    // ---- answers

    /** Answers a command by the proxy itself. */
    private void say(String line) {
        Exchange exchange = new Exchange(this, null);
        exchanges.add(exchange);
        answer(exchange, MetaCodec.text(ctx.alloc(), line + "\r\n"));
    }

    /** Turns a command down, in its turn and not at once; until then nothing more is read. */
    private void error(String line) {
        closing |= ++errors > MAX_ERRORS || dispatcher.now() - bornMs > ERROR_BY_MS;
        penalised = true;
        pauseReading();
        Exchange exchange = new Exchange(this, null);
        exchanges.add(exchange);
        double wait = Math.max(0, Math.min(ERROR_AFTER_MS, bornMs + ERROR_BY_MS - dispatcher.now()));
        ctx.executor().schedule(() -> {
            penalised = false;
            if (ctx.channel().isActive()) {
                answer(exchange, MetaCodec.text(ctx.alloc(), line + "\r\n"));
            }
        }, (long) wait, TimeUnit.MILLISECONDS);
    }

    /** The whole final answer; takes the buffer over. */
    void answer(Exchange exchange, ByteBuf answer) {
        if (finished) {
            answer.release();
            return;
        }
        exchange.answer = answer;
        if (exchange.command != null) {
            answered++;
        }
        flushAnswers();
    }

    private void flushAnswers() {
        boolean wrote = false;
        Exchange head;
        while (!finished && (head = exchanges.peek()) != null && head.answer != null) {
            int bytes = head.answer.readableBytes();
            owed(bytes);
            ctx.write(head.answer).addListener(f -> owed(-bytes));
            head.answer = null;
            wrote = true;
            exchanges.poll();
        }
        if (wrote) {
            activeMs = dispatcher.now();
            ctx.flush();
            if (!ctx.channel().isWritable() && dispatcher.holdsTooMuch()) {
                ctx.close(); // of those who don't take their answers, the first to ask for one more
                return;
            }
        }
        regulate();
        if (exchanges.isEmpty() && (closing || dispatcher.draining() && idle())) {
            finish();
        }
    }

    private void owed(int bytes) {
        owedBytes += bytes;
        dispatcher.holding(bytes);
    }

    /** Reads on once there is room for what may come of it. */
    private void regulate() {
        if (readPaused && !penalised && exchanges.size() < MAX_PIPELINED && ctx.channel().isWritable()) {
            readPaused = false;
            ctx.channel().config().setAutoRead(true);
            // What has been read already waits in the decoder; it is not told of the pause's end otherwise.
            ctx.executor().execute(() -> {
                ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
                partBegun();
            });
        }
    }

    private void pauseReading() {
        readPaused = true;
        ctx.channel().config().setAutoRead(false);
    }

    /**
     * Ends the connection from our side and waits for the client to do so: closing with unread input would
     * send a reset, which could overtake the last answer.
     */
    void finish() {
        if (finished) {
            return;
        }
        finished = true;
        closing = true;
        // After an error nothing of what may still come is of use, and it may be a lot.
        ctx.channel().config().setAutoRead(errors == 0);
        ((DuplexChannel) ctx.channel()).shutdownOutput();
        ctx.executor().schedule(() -> {
            ctx.close();
        }, LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Notes whether the client is in the middle of a command; the time while we don't read is not its own. */
    private void partBegun() {
        boolean part = !readPaused && (incoming != null || actualReadableBytes() > 0);
        partSinceMs = !part ? Double.NaN : Double.isNaN(partSinceMs) ? dispatcher.now() : partSinceMs;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        partBegun();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        activeMs = dispatcher.now();
        regulate();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        closing = true;
        finished = true;
        super.channelInactive(context);
        if (incoming != null) {
            dropValue(incoming);
            incoming = null;
        }
        for (Exchange e; (e = exchanges.poll()) != null;) {
            if (e.answer != null) {
                e.answer.release();
                e.answer = null;
            }
            if (e.command != null) {
                dispatcher.gone(e);
            }
        }
        dispatcher.left(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ctx.close();
    }
}
