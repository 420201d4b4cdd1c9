package damsonworks.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.List;

/**
 * The listening socket. It asks the door before it takes a connection from the kernel, not after, so that the
 * bound holds also within a batch; and no failure to take one closes it or stops it for longer than a moment.
 */
final class Listener extends NioServerSocketChannel {
    private final Door door;

    Listener(Door door) {
        this.door = door;
    }

    @Override
    protected int doReadMessages(List<Object> taken) {
        if (!door.hasRoom()) {
            return 0;
        }
        try {
            int n = super.doReadMessages(taken);
            door.taking(Math.max(0, n));
            return n;
        } catch (Throwable t) { // an Error too: where descriptors have run out, classes can't be loaded either
            door.cannotTake(t);
            return 0;
        }
    }

    /**
     * Ends it with nobody left in the kernel's backlog, who would be reset. On the event loop.
     *
     * @param batches so many batches are taken at most
     */
    void closeEmpty(int batches) {
        for (int before = -1; batches > 0 && door.inUse() != before; batches--) {
            before = door.inUse();
            unsafe().read();
        }
        close();
    }

    /** Whatever goes wrong with one connection says nothing of the next. */
    @Override
    protected boolean closeOnReadError(Throwable cause) {
        return !isActive();
    }
}
