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
 * A cache node that serves the memcache meta protocol and answers the commands of each connection
 * in order. Used on the site's event loop only.
 */
final class CacheNodeServer {
  private static final String BUSY = "SERVER_ERROR busy\r\n";
  private static final int MAX_LINE_BYTES = 4096;
  private static final String VALUE = "v".repeat(512);

  /** A command that has been received and not answered yet. */
  static final class Job {
    final Connection connection;
    final String key;
    final String id;
    final double workMs;
    String answer;

    Job(Connection at, String key, String id, double workMs) {
      this.connection = at;
      this.key = key;
      this.id = id;
      this.workMs = workMs;
    }
  }

  private final Site site;
  private final String name;
  private final ServiceQueue<Job> queue;
  private final ValueStore store;
  private final SlowStartGuard guard;
  private final Set<Connection> connections = new HashSet<>();
  private List<Channel> listeners = List.of();
  private final List<BlackholeListener> blackholes = new ArrayList<>();
  private int port;
  private boolean draining;
  private boolean silent;
  private boolean corruptsNextAnswer;
  private int processGeneration;
  private long requestsReceived;

  CacheNodeServer(Site site, String name, ServiceQueue<Job> queue, ValueStore store) {
    this.site = site;
    this.name = name;
    this.queue = queue;
    this.store = store;
    guard = new SlowStartGuard(site.plan().overloadMultiple(), Site.OVERLOAD_WINDOW_MS);
  }

  void listening(List<Channel> bound) {
    listeners = bound;
    port = ((InetSocketAddress) bound.get(0).localAddress()).getPort();
    draining = false;
  }

  int port() {
    return port;
  }

  ServiceQueue<Job> queue() {
    return queue;
  }

  ValueStore store() {
    return store;
  }

  ChannelHandler[] newConnectionHandlers() {
    return new ChannelHandler[] {new Connection()};
  }

  // ---- faults

  void crash() {
    processGeneration++;
    listeners.forEach(Channel::close);
    for (Connection c : Set.copyOf(connections)) {
      if (c.ctx.channel().isActive()) {
        c.ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0); // closes with a TCP reset
        c.ctx.close();
      }
    }
    queue.coldStart(site.nowMs());
    store.clear();
  }

  /** Closes the listeners, so that no new connection is accepted. */
  void closeListeners() {
    listeners.forEach(l -> l.close().syncUninterruptibly());
  }

  void addBlackhole(BlackholeListener blackhole) {
    blackholes.add(blackhole);
  }

  void closeBlackholes() throws IOException {
    for (BlackholeListener h : blackholes) {
      h.close();
    }
    blackholes.clear();
  }

  long requestsReceived() {
    return requestsReceived;
  }

  void startDraining() {
    draining = true;
  }

  void setSilent(boolean isSilent) {
    silent = isSilent;
    if (!isSilent) {
      Set.copyOf(connections).forEach(Connection::writeAnswers);
    }
  }

  void corruptNextAnswer() {
    corruptsNextAnswer = true;
  }

  // ---- work

  private void receive(Job job) {
    double now = site.nowMs();
    synchronized (site.ledger()) {
      site.ledger()
          .arrivedAtServer(
              job.id,
              name,
              site.earliestArrivalMs(job.connection.accepted),
              now); // a read at a cache node never counts as taking effect
    }
    if (draining) {
      answer(job, BUSY);
      return;
    }
    double workPerMs = queue.speedShare(now) * totalSpeed();
    double overloadMs = guard.recordWork(now, job.workMs, workPerMs, queue.speedShare(now) < 1);
    if (overloadMs > 0) {
      synchronized (site.ledger()) {
        site.ledger().coldServerOverloaded(name, now, overloadMs, guard.allowedWorkMs(workPerMs));
      }
    }
    switch (queue.offer(job)) {
      case STARTED -> begin(job);
      case QUEUED -> {}
      case REJECTED -> answer(job, BUSY);
    }
  }

  private double totalSpeed() {
    return queue.slots() * queue.speed();
  }

  private void begin(Job job) {
    int generation = processGeneration;
    site.schedule(
        queue.start(site.nowMs(), job.workMs) - site.nowMs(), () -> complete(job, generation));
  }

  private void complete(Job job, int generation) {
    if (generation != processGeneration) {
      return; // the process has crashed since the job started
    }
    double stallMs = queue.stalledUntilMs() - site.nowMs();
    if (stallMs > 0) {
      site.schedule(stallMs, () -> complete(job, generation));
      return;
    }
    boolean hit = store.touch(job.key);
    if (!hit) {
      site.pendingFills().recordMiss(job.id, store);
    }
    answer(
        job,
        hit
            ? "VA " + VALUE.length() + " O" + job.id + " h1\r\n" + VALUE + "\r\n"
            : "EN O" + job.id + " h0\r\n");
    Job next = queue.next();
    if (next != null) {
      begin(next);
    }
  }

  private void answer(Job job, String text) {
    job.answer = corruptsNextAnswer ? "\u0001\u0002 spoilt\r\n" : text;
    corruptsNextAnswer = false;
    job.connection.writeAnswers();
  }

  /** A connection, whose commands are answered in the order in which they arrived. */
  private final class Connection extends ByteToMessageDecoder {
    private final ArrayDeque<Job> pendingJobs = new ArrayDeque<>();
    private ChannelHandlerContext ctx;
    private int bytesToSkip;
    private boolean rejected;
    private SelectTimes.AcceptedConnection accepted;

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      ctx = context;
      accepted = site.connectionAccepted();
      rejected = connections.size() >= site.plan().connectionsPerNode();
      connections.add(this);
      site.networkPaths().register(ctx.channel(), NetworkPaths.Destination.NODES);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
      if (bytesToSkip > 0) {
        if (in.readableBytes() >= bytesToSkip) {
          in.skipBytes(bytesToSkip);
          bytesToSkip = 0;
        }
        return;
      }
      int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
      if (end < 0) {
        if (in.readableBytes() > MAX_LINE_BYTES) {
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
      String[] tokens = line.split(" ");
      String id = "";
      for (String token : tokens) {
        id = token.startsWith("O") ? token.substring(1) : id;
      }
      if (rejected) { // over the connection limit: answers busy once and closes
        write(BUSY);
        ctx.close();
      } else if (line.equals("mn")) {
        write("MN\r\n");
      } else if (tokens.length > 2 && tokens[0].equals("ms") && !id.isEmpty()) {
        bytesToSkip = Integer.parseInt(tokens[2]) + 2;
        Job job = new Job(this, tokens[1], id, 0);
        pendingJobs.add(job);
        answer(
            job,
            "EN O" + id + "\r\n"); // accepts and ignores the value: only the origin stores writes
      } else if (tokens.length > 2 && tokens[0].equals("mg") && !id.isEmpty()) {
        Job job = new Job(this, tokens[1], id, site.drawWorkMs(site.plan().cacheReadMs()));
        requestsReceived++;
        pendingJobs.add(job);
        receive(job);
      } else {
        write("CLIENT_ERROR bad command line format\r\n");
        ctx.close();
      }
    }

    private void write(String text) {
      site.networkPaths()
          .writeOrHold(
              ctx.channel(),
              NetworkPaths.Destination.NODES,
              () -> ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1)));
    }

    void writeAnswers() {
      while (!silent && !pendingJobs.isEmpty() && pendingJobs.peek().answer != null) {
        write(pendingJobs.poll().answer);
      }
    }

    /** Drops the waiting jobs of a closed connection; jobs in progress continue. */
    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      super.channelInactive(context);
      connections.remove(this);
      pendingJobs.forEach(queue::cancel);
      pendingJobs.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
