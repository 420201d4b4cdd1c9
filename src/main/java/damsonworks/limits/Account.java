package damsonworks.limits;

/**
 * What one peer holds: bytes by what they are held for, commands in hand, and since when anything of it has
 * waited. Opened and closed by {@link Accounts}, which keeps the sums.
 */
public final class Account {
    private static final Holding[] KINDS = Holding.values();

    /** What kind of peer it is. */
    public enum Peer {
        /** A client's connection. */
        CLIENT,
        /** A connection to a cache node or the origin. */
        NODE,
        /** A connection to discovery. */
        DISCOVERY
    }

    private final Accounts all;
    private final Peer peer;
    private final long[] held = new long[KINDS.length];
    private int inHand;
    private long served;
    private boolean closed;

    Account(Accounts all, Peer peer) {
        this.all = all;
        this.peer = peer;
    }

    public Peer peer() {
        return peer;
    }

    /**
     * Charges these bytes, or nothing: false if they would pass the bound on what all may hold of this kind. An
     * account that is closed takes nothing.
     */
    public boolean charge(Holding kind, int bytes) {
        if (closed || !all.room(kind, bytes)) {
            return false;
        }
        add(kind, bytes);
        return true;
    }

    /** Charges what has come already and is there whether or not there is room for it. */
    public void force(Holding kind, long bytes) {
        add(kind, bytes);
    }

    /** Gives back; IllegalStateException if more than is held, which would be somebody else's. */
    public void release(Holding kind, long bytes) {
        if (bytes > held[kind.ordinal()]) {
            throw new IllegalStateException(bytes + " bytes of " + kind + " given back, of " + held[kind.ordinal()]);
        }
        add(kind, -bytes);
    }

    /** Makes what is held of this kind this much, whatever it was. */
    public void set(Holding kind, long bytes) {
        add(kind, bytes - held[kind.ordinal()]);
    }

    private void add(Holding kind, long bytes) {
        held[kind.ordinal()] += bytes;
        all.add(kind, bytes);
    }

    public long held(Holding kind) {
        return held[kind.ordinal()];
    }

    /** Bytes held of all kinds. */
    public long held() {
        long sum = 0;
        for (long h : held) {
            sum += h;
        }
        return sum;
    }

    /** Commands taken and not answered. */
    public int inHand() {
        return inHand;
    }

    public void took() {
        inHand++;
    }

    public void answered() {
        inHand--;
        served++;
    }

    /** Commands answered since the account was opened. */
    public long served() {
        return served;
    }

    public boolean isClosed() {
        return closed;
    }

    /** The peer has gone. What is still held stays charged until it is given back, then the account is forgotten. */
    public void close() {
        closed = true;
        all.settle(this);
    }
}
