package damsonworks.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Messages between the proxies of a tier: datagrams that come late or not at all. Those that begin with
 * {@link #OWN} are the sockets' own and never reach the module: a proxy that starts asks who serves already.
 */
final class PeerSocket {
    private static final int MAX_MESSAGE = 256;
    private static final byte OWN = (byte) 0xC1;
    private static final byte[] WHO_SERVES = {OWN, '?'};
    private static final byte[] I_SERVE = {OWN, '!'};
    /** Followed by the version of the sender's list, eight bytes. */
    private static final byte LIST_VERSION = 'v';
    private static final int VERSION_MESSAGE = 2 + Long.BYTES;

    private final Config config;
    private final Dispatcher dispatcher;
    private Channel channel;
    private boolean serving;
    private Runnable whenOneServes = () -> { };
    private VersionListener versions;

    /** Is told which version of the list a peer says it has. */
    interface VersionListener {
        void version(int peer, long version);
    }

    PeerSocket(EventLoop loop, Config config, Dispatcher dispatcher) {
        this.config = config;
        this.dispatcher = dispatcher;
        if (config.settings().peers() && config.peerListen() != null) {
            Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                    .handler(new Receiver());
            if (config.control() != null) { // another process of this proxy may come to use the same address
                bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
            }
            channel = bootstrap.bind(config.peerListen()).channel();
        }
    }

    /** The address that messages come to; null where there are none. */
    InetSocketAddress address() {
        return channel == null ? null : (InetSocketAddress) channel.localAddress();
    }

    /** Whether there is anybody to ask. */
    boolean hasPeers() {
        return channel != null && config.peers().size() > 1;
    }

    /** Asks the others of the tier whether they serve; each that does has this run. On the event loop. */
    void whoServes(Runnable whenOneDoes) {
        whenOneServes = whenOneDoes;
        for (int peer = 0; peer < config.peers().size(); peer++) {
            if (peer != config.settings().me()) {
                write(peer, WHO_SERVES);
            }
        }
    }

    /** From now on this one serves, and says so. On the event loop. */
    void serving() {
        serving = true;
        whenOneServes = () -> { };
    }

    /** From now on what peers say of their lists comes here. */
    void onVersions(VersionListener listener) {
        versions = listener;
    }

    /** Tells all of the tier at which version this one's list is. */
    void tellVersion(long version) {
        if (config.peersAll() != null) {
            write(-1, ByteBuffer.allocate(VERSION_MESSAGE).put(OWN).put(LIST_VERSION).putLong(version).array());
        }
    }

    /** Sends to the proxy of this number, or to all of the tier if it is negative. */
    void send(int peer, byte[] message) {
        if (message.length > 0 && message[0] == OWN) { // the peer would take it for a question of ours
            dispatcher.log("a message to peer " + peer + " begins as none may");
            return;
        }
        write(peer, message);
    }

    private void write(int peer, byte[] message) {
        InetSocketAddress to = peer < 0 ? config.peersAll()
                : peer < config.peers().size() ? config.peers().get(peer) : null;
        if (channel == null || to == null || message.length > MAX_MESSAGE) {
            dispatcher.log("a message to peer " + peer + " can't be sent");
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
    }

    /** What does not come from a peer, or is longer than the protocol has it, is dropped. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int peer = config.peers().indexOf(packet.sender());
            int bytes = packet.content().readableBytes();
            if (peer < 0 || bytes > MAX_MESSAGE) {
                return;
            }
            byte[] message = ByteBufUtil.getBytes(packet.content());
            if (bytes == 0 || message[0] != OWN) {
                dispatcher.heard(peer, message);
            } else if (Arrays.equals(message, I_SERVE)) {
                whenOneServes.run();
            } else if (Arrays.equals(message, WHO_SERVES) && serving) {
                write(peer, I_SERVE);
            } else if (versions != null && bytes == VERSION_MESSAGE && message[1] == LIST_VERSION) {
                versions.version(peer, ByteBuffer.wrap(message).getLong(2));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram that did not arrive says nothing of the next.
        }
    }
}
