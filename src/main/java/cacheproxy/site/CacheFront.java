package cacheproxy.site;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A cache node on a port: the meta commands, answered in the order of their connection. On the
 * site's loop.
 */
final class CacheFront {
  private static final String BUSY = "SERVER_ERROR busy\r\n";
  private static final int MAX_LINE = 4096;
  private static final String VALUE = "v".repeat(512);

  /** One command in hand. */
  static final class Job {
    final Connection at;
    final String key;
    final String id;
    final double workMs;
    String answer;

    Job(Connection at, String key, String id, double workMs) {
      this.at = at;
      this.key = key;
      this.id = id;
      this.workMs = workMs;
    }
  }

  private final Site site;
  private final String name;
  private final ServiceQueue<Job> station;
  private final ValueStore shelf;
  private final SlowStartGuard guard;
  private final Set<Connection> connections = new HashSet<>();
  private List<Channel> listeners = List.of();
  private final List<BlackholeListener> holes = new ArrayList<>();
  private int port;
  private boolean draining;
  private boolean silent;
  private boolean spoils;
  private int life;
  private long came;

  CacheFront(Site site, String name, ServiceQueue<Job> station, ValueStore shelf) {
    this.site = site;
    this.name = name;
    this.station = station;
    this.shelf = shelf;
    guard = new SlowStartGuard(site.plan().tipMultiple(), Site.FALL_MS);
  }

  void bound(List<Channel> at) {
    listeners = at;
    port = ((InetSocketAddress) at.get(0).localAddress()).getPort();
    draining = false;
  }

  int port() {
    return port;
  }

  ServiceQueue<Job> station() {
    return station;
  }

  ValueStore shelf() {
    return shelf;
  }

  ChannelHandler[] connection() {
    return new ChannelHandler[] {new Connection()};
  }

  // ---- faults

  void crash() {
    life++;
    listeners.forEach(Channel::close);
    for (Connection c : Set.copyOf(connections)) {
      if (c.ctx.channel().isActive()) {
        c.ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0); // a reset
        c.ctx.close();
      }
    }
    station.born(site.nowMs());
    shelf.clear();
  }

  /** Nobody takes its connections from now on. */
  void unbind() {
    listeners.forEach(l -> l.close().syncUninterruptibly());
  }

  void hole(BlackholeListener in) {
    holes.add(in);
  }

  void fillHoles() throws IOException {
    for (BlackholeListener h : holes) {
      h.close();
    }
    holes.clear();
  }

  long came() {
    return came;
  }

  void drain() {
    draining = true;
  }

  void silent(boolean on) {
    silent = on;
    if (!on) {
      Set.copyOf(connections).forEach(Connection::flush);
    }
  }

  void spoil() {
    spoils = true;
  }

  // ---- work

  private void take(Job job) {
    double now = site.nowMs();
    synchronized (site.ledger()) {
      site.ledger()
          .sent(job.id, name, site.cameAfterMs(job.at.taken), now); // a cache node has no effect
    }
    if (draining) {
      answer(job, BUSY);
      return;
    }
    double perMs = station.warmth(now) * speed();
    double over = guard.sent(now, job.workMs, perMs, station.warmth(now) < 1);
    if (over > 0) {
      synchronized (site.ledger()) {
        site.ledger().pushedOver(name, now, over, guard.allowed(perMs));
      }
    }
    switch (station.offer(job)) {
      case BEGINS -> begin(job);
      case WAITS -> {}
      case TURNED_AWAY -> answer(job, BUSY);
    }
  }

  private double speed() {
    return station.slots() * station.speed();
  }

  private void begin(Job job) {
    int born = life;
    site.later(station.doneMs(site.nowMs(), job.workMs) - site.nowMs(), () -> done(job, born));
  }

  private void done(Job job, int born) {
    if (born != life) {
      return; // it died with the process
    }
    double stands = station.standsUntil() - site.nowMs();
    if (stands > 0) {
      site.later(stands, () -> done(job, born));
      return;
    }
    boolean hit = shelf.has(job.key);
    if (!hit) {
      site.missed().missed(job.id, shelf);
    }
    answer(
        job,
        hit
            ? "VA " + VALUE.length() + " O" + job.id + " h1\r\n" + VALUE + "\r\n"
            : "EN O" + job.id + " h0\r\n");
    Job next = station.next();
    if (next != null) {
      begin(next);
    }
  }

  private void answer(Job job, String text) {
    job.answer = spoils ? "\u0001\u0002 spoilt\r\n" : text;
    spoils = false;
    job.at.flush();
  }

  /** One connection: commands come in turn, and their answers go in the same. */
  private final class Connection extends ByteToMessageDecoder {
    private final ArrayDeque<Job> jobs = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private int skip;
    private boolean turnedAway;
    private SelectTimes.Taken taken;

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      ctx = context;
      taken = site.taken();
      turnedAway = connections.size() >= site.plan().places();
      connections.add(this);
      site.ways().enter(ctx.channel(), NetworkPaths.To.NODES);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
      if (skip > 0) {
        if (in.readableBytes() >= skip) {
          in.skipBytes(skip);
          skip = 0;
        }
        return;
      }
      int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
      if (end < 0) {
        if (in.readableBytes() > MAX_LINE) {
          context.close();
        }
        return;
      }
      String line =
          in.toString(in.readerIndex(), end - in.readerIndex(), StandardCharsets.ISO_8859_1)
              .strip();
      in.readerIndex(end + 1);
      command(line);
    }

    private void command(String line) {
      String[] words = line.split(" ");
      String id = "";
      for (String word : words) {
        id = word.startsWith("O") ? word.substring(1) : id;
      }
      if (turnedAway) { // its table is full: one answer, and the end
        say(BUSY);
        ctx.close();
      } else if (line.equals("mn")) {
        say("MN\r\n");
      } else if (words.length > 2 && words[0].equals("ms") && !id.isEmpty()) {
        skip = Integer.parseInt(words[2]) + 2;
        Job job = new Job(this, words[1], id, 0);
        jobs.add(job);
        answer(job, "EN O" + id + "\r\n"); // writes are the origin's
      } else if (words.length > 2 && words[0].equals("mg") && !id.isEmpty()) {
        Job job = new Job(this, words[1], id, site.draw(site.plan().workMs()));
        came++;
        jobs.add(job);
        take(job);
      } else {
        say("CLIENT_ERROR bad command line format\r\n");
        ctx.close();
      }
    }

    private void say(String text) {
      site.ways()
          .pass(
              ctx.channel(),
              NetworkPaths.To.NODES,
              () -> ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1)));
    }

    void flush() {
      while (!silent && !jobs.isEmpty() && jobs.peek().answer != null) {
        say(jobs.poll().answer);
      }
    }

    /** Work that waits is dropped, work under way goes on. */
    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      super.channelInactive(context);
      connections.remove(this);
      jobs.forEach(station::callOff);
      jobs.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
