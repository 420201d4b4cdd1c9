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
import java.util.Optional;

/**
 * The datagram socket between the proxies of a tier. Datagrams may be delayed or lost. Those that
 * begin with {@link #INTERNAL} belong to the proxy's own protocols and never reach the routing
 * policy; all others are messages of the routing policy. Methods must be called on the event loop
 * unless stated otherwise.
 */
public final class PeerSocket {
  /**
   * The addresses of the tier.
   *
   * @param listen the address to receive datagrams at, or empty to disable the socket
   * @param peers the address of each proxy of the tier, indexed by number
   * @param broadcast the address that reaches every proxy of the tier, or empty if there is none
   * @param self this proxy's number
   * @param reusePort whether another process of this proxy may bind the same address at the same
   *     time
   */
  public record Addresses(
      Optional<InetSocketAddress> listen,
      List<InetSocketAddress> peers,
      Optional<InetSocketAddress> broadcast,
      int self,
      boolean reusePort) {}

  /** Receives the routing policy's messages and this socket's log lines. */
  public interface Receiver {
    /** Handles a message that a peer's routing policy has sent. */
    void onMessage(int peer, byte[] message);

    /** Writes a line to the log. */
    void log(String line);
  }

  /** Receives the versions of peers' endpoint lists. */
  public interface EndpointVersionListener {
    /** Called when a peer has broadcast the version of its endpoint list. */
    void onVersion(int peer, long version);
  }

  /** Handles membership datagrams and knows which proxies accept clients. */
  interface MembershipListener {
    /** Handles a datagram with the type byte of the membership protocol. */
    void onDatagram(int peer, byte[] datagram);

    /** Runs the callback once, as soon as another proxy accepts clients. */
    void whenAnotherServes(Runnable callback);

    /** Called when this proxy begins to accept clients. */
    void onServing();
  }

  /** Handles datagrams of the protocol for state shared by the tier. */
  interface SharedStateListener {
    void onDatagram(int peer, byte[] message);
  }

  /** Maximum length of a datagram of any protocol. */
  private static final int MAX_DATAGRAM_BYTES = 256;

  /** Peer number that addresses all proxies of the tier. */
  private static final int ALL_PEERS = -1;

  /** First byte of all datagrams of the proxy's own protocols; the second byte is the type. */
  private static final byte INTERNAL = (byte) 0xC1;

  private static final int TYPE_OFFSET = 1;
  private static final int HEADER_BYTES = 2;
  private static final byte[] SERVING_QUERY = {INTERNAL, '?'};
  private static final byte[] SERVING_REPLY = {INTERNAL, '!'};

  /** Type of a datagram with the version of the sender's endpoint list, in eight bytes. */
  private static final byte ENDPOINT_VERSION = 'v';

  private static final int ENDPOINT_VERSION_BYTES = HEADER_BYTES + Long.BYTES;
  private static final byte MEMBERSHIP = 'm';
  private static final byte SHARED_STATE = 's';

  private final Addresses addresses;
  private final Receiver receiver;
  private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
  private Optional<Channel> channel = Optional.empty();
  private boolean serving;
  private Runnable whenAnotherServes = () -> {};
  private Optional<EndpointVersionListener> endpointVersions = Optional.empty();
  private Optional<MembershipListener> membership = Optional.empty();
  private Optional<SharedStateListener> sharedState = Optional.empty();

  /** Binds the socket if a listen address is given. May be called on any thread. */
  public PeerSocket(EventLoop loop, Addresses addresses, Receiver receiver) {
    this.addresses = addresses;
    this.receiver = receiver;
    for (int peer = 0; peer < addresses.peers().size(); peer++) {
      numbers.putIfAbsent(addresses.peers().get(peer), peer);
    }
    channel = addresses.listen().map(listen -> bind(loop, listen));
  }

  private Channel bind(EventLoop loop, InetSocketAddress listen) {
    Bootstrap bootstrap =
        new Bootstrap().group(loop).channel(NioDatagramChannel.class).handler(new Inbound());
    if (addresses.reusePort()) {
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    return bootstrap.bind(listen).channel();
  }

  /** Returns the bound address, or empty if the socket is disabled. May be called on any thread. */
  public Optional<InetSocketAddress> address() {
    return channel.map(bound -> (InetSocketAddress) bound.localAddress());
  }

  /**
   * Returns whether the socket is enabled and the tier has other proxies. May be called on any
   * thread.
   */
  public boolean hasPeers() {
    return channel.isPresent() && addresses.peers().size() > 1;
  }

  /**
   * Asks the other proxies whether they accept clients. The callback runs for each proxy that
   * answers that it does. If membership is enabled, nothing is sent, and the callback runs once as
   * soon as another proxy accepts clients.
   */
  public void askWhoServes(Runnable callback) {
    if (membership.isPresent()) {
      membership.get().whenAnotherServes(callback);
      return;
    }
    whenAnotherServes = callback;
    for (int peer = 0; peer < addresses.peers().size(); peer++) {
      if (peer != addresses.self()) {
        write(peer, SERVING_QUERY);
      }
    }
  }

  /** Records that this proxy now accepts clients, so that it answers proxies that ask for it. */
  public void announceServing() {
    serving = true;
    whenAnotherServes = () -> {};
    membership.ifPresent(MembershipListener::onServing);
  }

  /** Sets the listener for the versions of peers' endpoint lists. */
  public void onEndpointVersions(EndpointVersionListener listener) {
    endpointVersions = Optional.of(listener);
  }

  void onMembership(MembershipListener listener) {
    membership = Optional.of(listener);
  }

  void onSharedState(SharedStateListener listener) {
    sharedState = Optional.of(listener);
  }

  /**
   * Broadcasts the version of this proxy's endpoint list to the tier, if it has a broadcast
   * address.
   */
  public void broadcastEndpointVersion(long version) {
    if (addresses.broadcast().isPresent()) {
      ByteBuffer datagram = ByteBuffer.allocate(ENDPOINT_VERSION_BYTES);
      datagram.put(INTERNAL).put(ENDPOINT_VERSION).putLong(version);
      write(ALL_PEERS, datagram.array());
    }
  }

  /**
   * Sends a message of the routing policy to a peer, or to all proxies if the number is negative.
   */
  public void send(int peer, byte[] message) {
    if (isInternal(message)) { // the peer would handle it as a datagram of an internal protocol
      receiver.log("dropped a message to peer " + peer + ": its first byte is reserved");
      return;
    }
    write(peer, message);
  }

  private static boolean isInternal(byte[] datagram) {
    return datagram.length > 0 && datagram[0] == INTERNAL;
  }

  /** Sends a datagram of any protocol to a peer, or to all proxies if the number is negative. */
  void write(int peer, byte[] datagram) {
    Optional<InetSocketAddress> receiverAddress = addressOf(peer);
    if (channel.isEmpty() || receiverAddress.isEmpty() || datagram.length > MAX_DATAGRAM_BYTES) {
      receiver.log("dropped a message to peer " + peer + ": no socket or address, or too long");
      return;
    }
    channel
        .get()
        .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), receiverAddress.get()));
  }

  private Optional<InetSocketAddress> addressOf(int peer) {
    if (peer < 0) {
      return addresses.broadcast();
    }
    return peer < addresses.peers().size()
        ? Optional.of(addresses.peers().get(peer))
        : Optional.empty();
  }

  /** Drops datagrams that are too long or from an unknown address, and dispatches all others. */
  private final class Inbound extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      Integer peer = numbers.get(packet.sender());
      if (peer == null || packet.content().readableBytes() > MAX_DATAGRAM_BYTES) {
        return;
      }
      byte[] datagram = ByteBufUtil.getBytes(packet.content());
      if (isInternal(datagram)) {
        receiveInternal(peer, datagram);
      } else {
        receiver.onMessage(peer, datagram);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // An error with one datagram does not affect the next, so the socket stays open.
    }
  }

  private void receiveInternal(int peer, byte[] datagram) {
    if (Arrays.equals(datagram, SERVING_REPLY)) {
      whenAnotherServes.run();
    } else if (Arrays.equals(datagram, SERVING_QUERY)) {
      if (serving) {
        write(peer, SERVING_REPLY);
      }
    } else if (datagram.length > HEADER_BYTES) {
      receiveTyped(peer, datagram);
    }
  }

  private void receiveTyped(int peer, byte[] datagram) {
    switch (datagram[TYPE_OFFSET]) {
      case ENDPOINT_VERSION -> {
        if (datagram.length == ENDPOINT_VERSION_BYTES) {
          long version = ByteBuffer.wrap(datagram).getLong(HEADER_BYTES);
          endpointVersions.ifPresent(listener -> listener.onVersion(peer, version));
        }
      }
      case MEMBERSHIP -> membership.ifPresent(listener -> listener.onDatagram(peer, datagram));
      case SHARED_STATE -> sharedState.ifPresent(listener -> listener.onDatagram(peer, datagram));
      default -> {
        // A type of a later version; ignored.
      }
    }
  }
}
