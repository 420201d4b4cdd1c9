package damsonworks.control;

/**
 * Two processes of one proxy at the same addresses, an old and a new version: who holds how much while both run, and
 * how the old one leaves. Together they may hold what one may; new connections come to either as the kernel deals them.
 */
public final class Succession {
    /**
     * How long a new one may warm up beside the old, in milliseconds. It has 6 s until it must be ready, and the JVM
     * takes one or two of them; nobody is kept waiting meanwhile, as the old one serves.
     */
    public static final double WARM_MS = 3200;
    /** Connections go on coming for so long after a planned end where nobody takes over, with room for a slow machine. */
    private static final double LISTEN_ON_MS = 500;
    /**
     * With a successor, connections that stand idle are left open for so long, so that each ends behind the answer to
     * its next request: a client whose request crosses the end of its connection has to send it again.
     */
    private static final double IDLE_MS = 1200;

    /** Descriptors that both processes need for themselves: JVM, listeners, discovery, peers, operators' calls. */
    private static final int OWN = 64;
    /**
     * Room for what both open before they next hear of each other. Guards the bound on what they hold together; a
     * crowd that comes to both in that time is bounded by {@link #LEAST} as well.
     */
    private static final int MARGIN = 48;
    /** Whatever the other holds, this part of the places is this one's. */
    private static final int LEAST = 4;

    private Succession() { }

    /** Descriptors that a process holds. */
    public record Holds(int clients, int servers) {
        public static final Holds NOTHING = new Holds(0, 0);
    }

    /**
     * How many places for clients this one leaves free for the other. By what both hold and not by halves, as clients
     * that have just connected would be shown out of one half while the other stands empty.
     *
     * @param sockets descriptors that both together may hold
     * @param places clients that there is room for where one runs alone
     * @param servers connections to servers that this one holds
     */
    public static int clientsLeft(int sockets, int places, int servers, Holds other) {
        if (other.equals(Holds.NOTHING)) {
            return 0;
        }
        int room = sockets - OWN - MARGIN - servers - other.clients() - other.servers();
        return Math.max(0, Math.min(places - room, places - places / LEAST));
    }

    /** How many of so many connections to servers this one leaves to the other. */
    public static int serversLeft(int most, Holds other) {
        return Math.min(most / 2, other.servers());
    }

    /** How long one that is told to end goes on taking connections. */
    public static double listenMs(boolean beside) {
        return beside ? 0 : LISTEN_ON_MS;
    }

    /** After how long it ends the connections that stand idle. */
    public static double idleMs(boolean beside) {
        return beside ? IDLE_MS : LISTEN_ON_MS;
    }
}
