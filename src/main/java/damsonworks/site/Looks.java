package damsonworks.site;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * When the site's loop last looked at its sockets. A loop that was kept from running reads late what came long before, and
 * who judges by the time of reading would blame the sender. What is read in one round was not there when the round before
 * asked for it, so that it came at that round's beginning at the earliest. On the loop.
 */
final class Looks implements IoHandler {
    private final IoHandler io;
    private long before;
    private long current;
    private long rounds;

    /** So many rounds after a connection was taken it has been looked at by itself. */
    private static final int FIRST_ROUNDS = 2;

    /** When a connection was taken. */
    record Taken(long round, long cameAfter) { }

    private Looks(IoHandler io) {
        this.io = io;
        before = current = System.nanoTime();
    }

    /** Makes the one handler of a group of one loop, and keeps it. */
    static final class Factory implements IoHandlerFactory {
        private final IoHandlerFactory nio = NioIoHandler.newFactory();
        private Looks made;

        @Override
        public IoHandler newHandler(ThreadAwareExecutor loop) {
            made = new Looks(nio.newHandler(loop));
            return made;
        }

        /** A connection is taken in this round. */
        Taken taken() {
            return new Taken(made.rounds, made.before);
        }

        /** What is read now on this connection came after this, of {@link System#nanoTime}: its first bytes may have come with it. */
        long cameAfter(Taken connection) {
            return made.rounds <= connection.round() + FIRST_ROUNDS ? connection.cameAfter() : made.before;
        }
    }

    @Override
    public int run(IoHandlerContext context) {
        before = current;
        current = System.nanoTime();
        rounds++;
        return io.run(context);
    }

    @Override
    public void initialize() {
        io.initialize();
    }

    @Override
    public void prepareToDestroy() {
        io.prepareToDestroy();
    }

    @Override
    public void destroy() {
        io.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return io.register(handle);
    }

    @Override
    public void wakeup() {
        io.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return io.isCompatible(type);
    }
}
