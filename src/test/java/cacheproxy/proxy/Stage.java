package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.DisconnectReason;
import cacheproxy.limits.Limits;
import cacheproxy.limits.MinimumRate;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBufAllocator;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/**
 * A real proxy between scripted peers. Everything waits for conditions, for {@link #PATIENCE} at
 * most.
 */
final class Stage implements AutoCloseable {
  static final String LONG = "v".repeat(64 << 10);
  static final Duration PATIENCE = Duration.ofSeconds(20);

  final List<AutoCloseable> open = new ArrayList<>();
  int sockets = 256;
  int memoryMb = 64;

  /** Makes the proxy's bounds of those that follow from memory and sockets. */
  UnaryOperator<Limits> limits = l -> l;

  ByteBufAllocator allocator = ByteBufAllocator.DEFAULT;

  /** Operators may call. */
  boolean control;

  /** When requests are rejected for lack of processor time. */
  LoadShedding loadShedding = LoadShedding.BY_LATENCY_OBJECTIVES;

  /** What the configuration says of peers, each line with its comma. */
  String peers = "";

  /** Makes the proxy's configuration of the usual one. */
  UnaryOperator<String> change = c -> c;

  Proxy proxy;

  <T extends AutoCloseable> T keep(T thing) {
    open.add(thing);
    return thing;
  }

  Peer peer(Peer.Script script) {
    return keep(new Peer(script));
  }

  /** Starts the proxy on this list of hosts, which it knows from its configuration. */
  Stage start(Peer discovery, String... hosts) throws Exception {
    String text = change.apply(config(discovery.address(), hosts));
    Config config =
        Config.parse(
            JsonParser.parseString(
                    control
                        ? text.replaceFirst("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\"")
                        : text)
                .getAsJsonObject());
    OperatorOptions options =
        config.options().with(limits.apply(config.limits())).with(loadShedding);
    proxy = Proxy.start(config.with(options), allocator);
    keep(proxy::close);
    return this;
  }

  String config(String discovery, String... hosts) {
    return """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
                 "known":%s,%s
                 "settings":{"me":0,"balancers":2,"locality":0,"zones":["z"],"kinds":["cache","origin"],
                  "discovery":"ask","extra":{"mode":"aside","origin-kind":1},
                  "report":{"how":"piggyback","names":["util"]},"value-by":"request","over-share-worth":1,
                  "caps":{"may-cancel":true,"may-probe":false,"peers":true,"second-copies":true,"retry-after":true,
                   "max-attempts":3,"max-retry-after":500,"connect-timeout":500,"idle-close":30000,
                   "streams-per-conn":128},
                  "guarantees":{"drain-grace":2000,"grace-to-answer":20,"start-capacity":0.3,"warm-up":9000,
                   "tip-multiple":3,"fall":1500,"ask-within":10000},
                  "classes":[
                   {"name":"read","idempotency":"retryable","promise":2000,"deadline":10000,"late-share":0.2,
                    "stream":false},
                   {"name":"pay","idempotency":"fragile","promise":2000,"deadline":10000,"late-share":0.2,
                    "stream":false},
                   {"name":"save","idempotency":"dedup","group":"all","window":15000,"promise":2000,
                    "deadline":10000,"late-share":0.2,"stream":false}],
                  "tenants":[]}}
                """
        .formatted(discovery, memoryMb, sockets, list(1, hosts), peers);
  }

  /** A whole list in discovery's form. */
  static String list(int seq, String... hosts) {
    return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
  }

  static String host(String name, String kind, Peer peer, String health) {
    return host(name, kind, peer.address(), health);
  }

  static String host(String name, String kind, String dial, String health) {
    return "{\"host\":\""
        + name
        + "\",\"dial\":\""
        + dial
        + "\",\"site\":\"z\",\"class\":\""
        + kind
        + "\",\"block\":0,\"health\":\""
        + health
        + "\",\"share\":1,\"born_ms\":0}";
  }

  static String cache(String name, Peer peer) {
    return host(name, "cache", peer, "up");
  }

  static String origin(Peer peer) {
    return host("s-ffff", "origin", peer, "up");
  }

  /** A discovery whose watches have nothing to tell. */
  Peer quietDiscovery() {
    return peer(
        line -> {
          while (line.head() != null) {
            Thread.sleep(PATIENCE.toMillis() * 3);
          }
        });
  }

  /**
   * A cache node whose value for a key that begins with {@code long} has 64 KiB, else two bytes.
   */
  Peer fullCache() {
    return peer(
        line -> {
          for (String text; (text = line.read()) != null; ) {
            answer(line, text);
          }
        });
  }

  static void answer(Peer.Line line, String command) throws java.io.IOException {
    String value = command.startsWith("mg long") ? LONG : "hi";
    line.write("VA " + value.length() + " O" + id(command) + "\r\n" + value + "\r\n");
  }

  /** The client is served a short value that {@link #fullCache} holds. */
  static void serves(Peer.Line client, String id) throws Exception {
    client.write(read("a", id));
    assertThat(client.read()).isEqualTo("VA 2 O" + id);
    assertThat(client.read()).isEqualTo("hi");
  }

  /** The client is served this value of the key that is called so. */
  static void serves(Peer.Line client, String id, String value) throws Exception {
    client.write(read(value, id));
    assertThat(client.read()).isEqualTo("VA " + value.length() + " O" + id);
    assertThat(client.read()).isEqualTo(value);
  }

  /** A cache node that has nothing. */
  Peer emptyCache() {
    return peer(
        line -> {
          for (String text; (text = line.read()) != null; ) {
            line.write("EN O" + id(text) + "\r\n");
          }
        });
  }

  /** The id in a command's line. */
  static String id(String command) {
    int at = command.indexOf(" O") + 2;
    int end = command.indexOf(' ', at);
    return command.substring(at, end < 0 ? command.length() : end);
  }

  Peer.Line client() throws Exception {
    return keep(
        new Peer.Line(
            new Socket("127.0.0.1", proxy.address().getPort()), new ConcurrentLinkedQueue<>()));
  }

  /** A client at this loopback address. */
  Peer.Line clientFrom(String address) throws Exception {
    Socket socket = new Socket();
    socket.bind(new java.net.InetSocketAddress(address, 0));
    socket.connect(new java.net.InetSocketAddress("127.0.0.1", proxy.address().getPort()));
    return keep(new Peer.Line(socket, new ConcurrentLinkedQueue<>()));
  }

  /**
   * A client whose system holds little for it, so that what it does not take stays with the proxy.
   */
  Peer.Line narrowClient() throws Exception {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4 << 10);
    socket.connect(new java.net.InetSocketAddress("127.0.0.1", proxy.address().getPort()));
    return keep(new Peer.Line(socket, new ConcurrentLinkedQueue<>()));
  }

  /**
   * Room for so much of answers that are not whole yet, and of those that clients have not taken.
   */
  static Limits room(Limits l, long reading, long bytes) {
    return new Limits(
        l.maxConnections(),
        l.maxActiveClients(),
        l.requestValueBytes(),
        reading,
        bytes,
        bytes,
        l.clientWriteRate(),
        l.clientReadRate(),
        l.nodeResponseRate(),
        l.silentMs(),
        l.sendBufferBytes(),
        l.evictIdle(),
        l.clientBackoff());
  }

  /** The same bounds with another grace for clients that read answers. */
  static Limits withReadGrace(Limits l, double graceMs) {
    return new Limits(
        l.maxConnections(),
        l.maxActiveClients(),
        l.requestValueBytes(),
        l.upstreamResponseBytes(),
        l.clientResponseBytes(),
        l.responseBytesPerClient(),
        l.clientWriteRate(),
        new MinimumRate(l.clientReadRate().bytesPerSecond(), graceMs),
        l.nodeResponseRate(),
        l.silentMs(),
        l.sendBufferBytes(),
        l.evictIdle(),
        l.clientBackoff());
  }

  /** Least rates with these graces, and little that the system holds of answers. */
  static Limits narrow(Limits l, double writeGraceMs, double readGraceMs) {
    return new Limits(
        l.maxConnections(),
        l.maxActiveClients(),
        l.requestValueBytes(),
        l.upstreamResponseBytes(),
        l.clientResponseBytes(),
        l.responseBytesPerClient(),
        new MinimumRate(l.clientWriteRate().bytesPerSecond(), writeGraceMs),
        new MinimumRate(l.clientReadRate().bytesPerSecond(), readGraceMs),
        l.nodeResponseRate(),
        l.silentMs(),
        8 << 10,
        l.evictIdle(),
        l.clientBackoff());
  }

  /** How often the proxy has cut somebody off for this. */
  long cuts(DisconnectReason why) {
    return proxy
        .loop()
        .submit(() -> proxy.dispatcher().disconnectCounters().count(why))
        .syncUninterruptibly()
        .getNow();
  }

  /** How many rejections could not be attributed to a request. */
  long ambiguousRejections() {
    return proxy
        .loop()
        .submit(() -> proxy.dispatcher().metrics().ambiguousRejections())
        .syncUninterruptibly()
        .getNow();
  }

  long held(BufferPurpose kind) {
    return proxy
        .loop()
        .submit(() -> proxy.dispatcher().accounts().reservedBytes(kind))
        .syncUninterruptibly()
        .getNow();
  }

  long mostHeld(BufferPurpose kind) {
    return proxy
        .loop()
        .submit(() -> proxy.dispatcher().accounts().peakBytes(kind))
        .syncUninterruptibly()
        .getNow();
  }

  static String read(String key, String id) {
    return "mg " + key + " v O" + id + " Pc=read,t=a,d=8000\r\n";
  }

  static String write(String key, String id, String kind, String value) {
    return "ms "
        + key
        + " "
        + value.length()
        + " O"
        + id
        + " Pc="
        + kind
        + ",t=a,d=8000,k=1\r\n"
        + value
        + "\r\n";
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + PATIENCE.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("still not so after " + PATIENCE);
      }
      Thread.sleep(5);
    }
  }

  @Override
  public void close() throws Exception {
    for (int i = open.size() - 1; i >= 0; i--) {
      open.get(i).close();
    }
  }
}
