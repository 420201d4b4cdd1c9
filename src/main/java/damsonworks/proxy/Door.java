package damsonworks.proxy;

import damsonworks.limits.DoorRules;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The places that clients' connections have, and who is shown out where there are too few. The one owner of their
 * descriptors: one counts from when the kernel is asked for it until the selector has let go of it, so that
 * {@link #inUse()} passes the bound on no path.
 */
final class Door {
    /**
     * So many connections are taken in one round of the loop at most, and so many places are kept free where
     * somebody can be shown out: a closed connection's descriptor is free only with the next round. Guards
     * newcomers against waiting a round each. Harm: with few places a good part of them stands empty.
     */
    private static final int BATCH = 16;
    /** No more is taken for so long after a failure to take one; what comes waits in the kernel's backlog. */
    private static final long FAILED_PAUSE_MS = 10;
    private static final long SWEEP_MS = 50;

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final DoorRules rules;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private Channel listener;
    /** Taken from the kernel in this batch and not yet among the clients. */
    private int expected;
    /** Closed, with a descriptor that the selector holds until its next round. */
    private int releasing;
    private int most;
    private long failures;
    private boolean resting;

    /** @param clientsRoom how many of the places are for clients that ask */
    Door(EventLoop loop, Dispatcher dispatcher, int places, int clientsRoom) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        rules = new DoorRules(places, clientsRoom, Math.min(BATCH, places / 8));
    }

    static int batch() {
        return BATCH;
    }

    void open(Channel by) {
        listener = by;
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    Set<ClientConnection> clients() {
        return clients;
    }

    /** Descriptors that clients hold. */
    int inUse() {
        return clients.size() + expected + releasing;
    }

    /** The most that {@link #inUse()} has been. */
    int most() {
        return most;
    }

    int places() {
        return rules.places();
    }

    /** Connections that could not be taken. */
    long failures() {
        return failures;
    }

    // ---- the listener's questions

    /** Whether one more connection may be taken now; if not, none is taken until there is room. */
    boolean hasRoom() {
        if (!resting && inUse() < rules.places()) {
            return true;
        }
        if (!resting) {
            makeRoom();
        }
        listener.config().setAutoRead(false);
        return false;
    }

    /** The kernel has given so many connections, each of which {@link #enter} follows for, or nothing does. */
    void taking(int n) {
        expected += n;
        most = Math.max(most, inUse());
    }

    /** The batch has been worked off: what has not entered by now has been closed by who failed on it. */
    void batchEnded() {
        released(expected);
        expected = 0;
    }

    void cannotTake(Throwable cause) {
        failures++;
        dispatcher.log("a connection could not be taken: " + cause);
        ClientConnection first = rules.next(dispatcher.now(), clients, rules.places());
        if (first != null) {
            show(first);
        }
        resting = true;
        listener.config().setAutoRead(false);
        loop.schedule(() -> {
            resting = false;
            resume();
        }, FAILED_PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    // ---- coming and going

    void enter(Channel channel) {
        ClientConnection client = new ClientConnection(dispatcher, this::asked);
        channel.pipeline().addLast(client);
        expected = Math.max(0, expected - 1);
        clients.add(client);
        makeRoom();
    }

    /** It has asked for the first time. */
    void asked() {
        rules.newcomer(dispatcher.now());
    }

    /** The connection has ended, whoever ended it. */
    void left(ClientConnection client) {
        if (clients.remove(client)) {
            released(1);
        }
    }

    /** A closed channel's descriptor comes back when the selector has dropped its key, before the next batch. */
    private void released(int n) {
        if (n > 0) {
            releasing += n;
            loop.execute(() -> {
                releasing -= n;
                resume();
            });
        }
    }

    private void resume() {
        if (!resting && listener != null && !listener.config().isAutoRead() && inUse() < rules.places()) {
            listener.config().setAutoRead(true);
        }
    }

    /** Shows out until the rules are content, or nobody is left who may be. */
    private void makeRoom() {
        double now = dispatcher.now();
        for (ClientConnection c; (c = rules.next(now, clients, expected)) != null;) {
            show(c);
        }
    }

    /** Out of the set at once: the next choice must not fall on it again. */
    private void show(ClientConnection client) {
        if (clients.remove(client)) {
            released(1);
        }
        client.close();
    }

    private void sweep() {
        try {
            double now = dispatcher.now();
            for (ClientConnection c : List.copyOf(clients)) {
                if (c.stalled(now)) {
                    show(c);
                }
            }
            makeRoom();
            resume();
        } catch (Throwable t) {
            dispatcher.fault(t);
        }
    }
}
