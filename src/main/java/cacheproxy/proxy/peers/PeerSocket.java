package cacheproxy.proxy.peers;

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
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Messages between the proxies of a tier: datagrams that come late or not at all. Those that begin
 * with {@link #OWN} are the sockets' own and never reach the module: a proxy that starts asks who
 * serves already.
 */
public final class PeerSocket {
  /**
   * @param listen where messages come to; null: there are none
   * @param peers one for each proxy of the tier, by number
   * @param all for every proxy of the tier; null: none
   * @param me this one's number
   * @param beside whether another process of this proxy may come to use the same address
   */
  public record Addresses(
      InetSocketAddress listen,
      List<InetSocketAddress> peers,
      InetSocketAddress all,
      int me,
      boolean beside) {}

  /** Who the module's messages are for, and the log's lines. */
  public interface Receiver {
    void heard(int peer, byte[] message);

    void log(String line);
  }

  /** Is told which version of the list a peer says it has. */
  public interface VersionListener {
    void version(int peer, long version);
  }

  /** Is told of datagrams of membership's. */
  interface MemberListener {
    void heard(int peer, byte[] message);

    /** Has this run once another member takes clients. */
    void whenOneServes(Runnable then);

    void serving();
  }

  /** Is told of datagrams about what the tier shares. */
  interface SharedListener {
    void heard(int peer, byte[] message);
  }

  private static final int MAX_MESSAGE = 256;
  private static final byte OWN = (byte) 0xC1;
  private static final byte[] WHO_SERVES = {OWN, '?'};
  private static final byte[] I_SERVE = {OWN, '!'};

  /** Followed by the version of the sender's list, eight bytes. */
  private static final byte LIST_VERSION = 'v';

  private static final int VERSION_MESSAGE = 2 + Long.BYTES;
  private static final byte MEMBERS = 'm';
  private static final byte SHARED = 's';

  private final Addresses addresses;
  private final Receiver receiver;
  private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
  private Channel channel;
  private boolean serving;
  private Runnable whenOneServes = () -> {};
  private VersionListener versions;
  private MemberListener members;
  private SharedListener shared;

  public PeerSocket(EventLoop loop, Addresses addresses, Receiver receiver) {
    this.addresses = addresses;
    this.receiver = receiver;
    for (int peer = addresses.peers().size() - 1;
        peer >= 0;
        peer--) { // of two at one address the first
      numbers.put(addresses.peers().get(peer), peer);
    }
    if (addresses.listen() != null) {
      Bootstrap bootstrap =
          new Bootstrap().group(loop).channel(NioDatagramChannel.class).handler(new Inbound());
      if (addresses.beside()) {
        bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
      }
      channel = bootstrap.bind(addresses.listen()).channel();
    }
  }

  /** The address that messages come to; null where there are none. */
  public InetSocketAddress address() {
    return channel == null ? null : (InetSocketAddress) channel.localAddress();
  }

  /** Whether there is anybody to ask. */
  public boolean hasPeers() {
    return channel != null && addresses.peers().size() > 1;
  }

  /**
   * Asks the others of the tier whether they serve; each that does has this run. On the event loop.
   */
  public void whoServes(Runnable whenOneDoes) {
    if (members != null) { // it asks some by lot, and they know of all
      members.whenOneServes(whenOneDoes);
      return;
    }
    whenOneServes = whenOneDoes;
    for (int peer = 0; peer < addresses.peers().size(); peer++) {
      if (peer != addresses.me()) {
        write(peer, WHO_SERVES);
      }
    }
  }

  /** From now on this one serves, and says so. On the event loop. */
  public void serving() {
    serving = true;
    whenOneServes = () -> {};
    if (members != null) {
      members.serving();
    }
  }

  /** From now on what peers say of their lists comes here. */
  public void onVersions(VersionListener listener) {
    versions = listener;
  }

  void onMembers(MemberListener listener) {
    members = listener;
  }

  void onShared(SharedListener listener) {
    shared = listener;
  }

  /** Tells all of the tier at which version this one's list is. */
  public void tellVersion(long version) {
    if (addresses.all() != null) {
      write(
          -1,
          ByteBuffer.allocate(VERSION_MESSAGE).put(OWN).put(LIST_VERSION).putLong(version).array());
    }
  }

  /** Sends to the proxy of this number, or to all of the tier if it is negative. */
  public void send(int peer, byte[] message) {
    if (message.length > 0 && message[0] == OWN) { // the peer would take it for a question of ours
      receiver.log("a message to peer " + peer + " begins as none may");
      return;
    }
    write(peer, message);
  }

  void write(int peer, byte[] message) {
    InetSocketAddress to =
        peer < 0
            ? addresses.all()
            : peer < addresses.peers().size() ? addresses.peers().get(peer) : null;
    if (channel == null || to == null || message.length > MAX_MESSAGE) {
      receiver.log("a message to peer " + peer + " can't be sent");
      return;
    }
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
  }

  /** What does not come from a peer, or is longer than the protocol has it, is dropped. */
  private final class Inbound extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      Integer peer = numbers.get(packet.sender());
      int bytes = packet.content().readableBytes();
      if (peer == null || bytes > MAX_MESSAGE) {
        return;
      }
      byte[] message = ByteBufUtil.getBytes(packet.content());
      if (bytes == 0 || message[0] != OWN) {
        receiver.heard(peer, message);
      } else if (Arrays.equals(message, I_SERVE)) {
        whenOneServes.run();
      } else if (Arrays.equals(message, WHO_SERVES) && serving) {
        write(peer, I_SERVE);
      } else if (versions != null && bytes == VERSION_MESSAGE && message[1] == LIST_VERSION) {
        versions.version(peer, ByteBuffer.wrap(message).getLong(2));
      } else if (members != null && bytes > 2 && message[1] == MEMBERS) {
        members.heard(peer, message);
      } else if (shared != null && bytes > 2 && message[1] == SHARED) {
        shared.heard(peer, message);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // A datagram that did not arrive says nothing of the next.
    }
  }
}
