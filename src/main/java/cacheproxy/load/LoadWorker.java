package cacheproxy.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One thread of the generator: its part of the plan, its connections and its tally. All of it on
 * one event loop.
 */
final class LoadWorker {
  /**
   * Closer than this to the next request the loop turns without sleeping, in milliseconds: the
   * system's wait for sockets has no finer step than one. Harm: a core is taken whole above some
   * 500 requests a second.
   */
  private static final double SPIN_MS = 1.5;

  /** So many are begun before sockets have their turn. */
  private static final int BATCH = 64;

  /** An answer is in time this much after its client's time, on sockets (PROTOCOL). */
  static final double SLACK_MS = 50;

  private static final int CONNECT_MS = 1000;

  /** A request on its way, over all its tries. */
  private static final class Open {
    final PlannedRequest ask;
    final Kind kind;
    final double lot;
    final String idempotency;
    int tries;
    boolean resent;
    String id;
    TimerWheel.Timer timer;

    Open(PlannedRequest ask, Kind kind, SplittableRandom random) {
      this.ask = ask;
      this.kind = kind;
      lot = random.nextDouble();
      idempotency = kind.keyed() ? HexFormat.of().toHexDigits(random.nextLong()) : null;
    }
  }

  private final Generator generator;
  private final EventLoop loop;
  private final int number;
  private final Generator.Settings settings;
  private final ResultRecorder tally;
  private final SplittableRandom random;
  private final Bootstrap bootstrap;
  private final List<ArrayDeque<Line>> idle = new ArrayList<>();
  private final List<ArrayDeque<Open>> waiting = new ArrayList<>();
  private final int[] connections;
  private final Set<Line> lines = new HashSet<>();
  private TimerWheel wheel;
  private Iterator<PlannedRequest> plan;
  private PlannedRequest next;
  private boolean finished;

  /** Tries that their clients have given up and whose answers are still waited for. */
  private int listening;

  private volatile long begun;
  private volatile long ended;

  LoadWorker(Generator generator, EventLoop loop, int number) {
    this.generator = generator;
    this.loop = loop;
    this.number = number;
    settings = generator.settings();
    tally = new ResultRecorder(settings.kinds());
    random = new SplittableRandom(settings.seed() * 31 + number);
    connections = new int[settings.targets().size()];
    settings
        .targets()
        .forEach(
            t -> {
              idle.add(new ArrayDeque<>());
              waiting.add(new ArrayDeque<>());
            });
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS);
  }

  EventLoop loop() {
    return loop;
  }

  ResultRecorder tally() {
    return tally;
  }

  long begun() {
    return begun;
  }

  long ended() {
    return ended;
  }

  int connections() {
    return lines.size(); // a figure for a terminal: it may be a moment old
  }

  void begin() {
    wheel = new TimerWheel(generator.nowMs());
    plan = settings.plan().get();
    advance();
    turn();
  }

  private void advance() {
    do {
      next = plan.hasNext() ? plan.next() : null;
    } while (next != null && next.number() % settings.threads() != number);
  }

  /** One turn: timers, then what is due; and again when the next is. */
  private void turn() {
    double now = generator.nowMs();
    wheel.turn(now);
    for (int i = 0; i < BATCH && next != null && next.atMs() <= now; i++) {
      PlannedRequest ask = next;
      advance();
      begun++;
      send(new Open(ask, settings.kinds().get(ask.kind()), random));
    }
    if (generator.stopped() || next == null && begun == ended && listening == 0) {
      end();
    } else if (next != null && next.atMs() - now < SPIN_MS) {
      // Not by execute(): the loop works off its tasks for up to a second before it looks at
      // sockets again.
      loop.schedule(this::turn, 1, TimeUnit.NANOSECONDS);
    } else {
      loop.schedule(this::turn, 1, TimeUnit.MILLISECONDS);
    }
  }

  private void end() {
    if (!finished) {
      finished = true;
      Set.copyOf(lines).forEach(Line::close);
      generator.laneDone();
    }
  }

  // ---- tries

  private void send(Open open) {
    double now = generator.nowMs();
    double left = settings.patience().tryMs(open.kind, now - open.ask.atMs());
    if (left < 1) { // it waited for its turn until its client had gone
      if (open.tries == 0) {
        tally.unsent++;
        tally.written(now - open.ask.atMs());
      }
      over(open, ClientTimeouts.End.FAILED);
      return;
    }
    int target = open.ask.target();
    Line line = idle.get(target).pollLast();
    if (line != null) {
      write(open, line, now, left);
    } else if (connections[target] < settings.connections()) {
      connect(open, target);
    } else {
      waiting.get(target).add(open);
      open.timer =
          wheel.at(
              now + left,
              () -> {
                waiting.get(target).remove(open);
                tally.unsent++;
                if (open.tries == 0) {
                  tally.written(generator.nowMs() - open.ask.atMs());
                }
                over(open, ClientTimeouts.End.FAILED);
              });
    }
  }

  private void connect(Open open, int target) {
    connections[target]++;
    tally.connections++;
    Line line = new Line(this, target);
    lines.add(line);
    ChannelFuture connecting =
        bootstrap.clone().handler(line).connect(settings.targets().get(target));
    connecting.addListener(
        f -> {
          if (!f.isSuccess()) {
            gone(line);
            tally.unconnected++;
            if (open.tries == 0) {
              tally.written(generator.nowMs() - open.ask.atMs());
            }
            open.tries++;
            ended(open, ClientTimeouts.End.UNCONNECTED, 0);
            return;
          }
          double now = generator.nowMs();
          double left = settings.patience().tryMs(open.kind, now - open.ask.atMs());
          if (left < 1) {
            idle(line);
            send(open); // tells that its time is over
          } else {
            write(open, line, now, left);
          }
        });
  }

  private void write(Open open, Line line, double now, double left) {
    if (open.tries == 0) {
      tally.written(now - open.ask.atMs());
    }
    open.tries++;
    tally.tries++;
    open.id = HexFormat.of().toHexDigits(random.nextLong());
    StringBuilder text =
        new StringBuilder(160).append(open.kind.write() ? "ms " : "mg ").append(open.ask.key());
    text.append(open.kind.write() ? " " + open.ask.bytes() : " v")
        .append(" O")
        .append(open.id)
        .append(" Pc=")
        .append(open.kind.name())
        .append(",t=")
        .append(settings.tenant())
        .append(",d=")
        .append(Math.round(left));
    if (open.idempotency != null) {
      text.append(",k=").append(open.idempotency);
    }
    if (open.tries > 1) {
      text.append(",r=1");
    }
    text.append("\r\n");
    if (open.kind.write()) {
      text.append("x".repeat(open.ask.bytes())).append("\r\n");
    }
    settings.witness().sent(open.id, open.ask.target(), open.kind, open.idempotency, left);
    Channel channel = line.channel();
    String id = open.id;
    line.expect(id, (end, advice) -> answered(open, line, end, advice));
    channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), text));
    open.timer =
        wheel.at(
            now + left + SLACK_MS,
            () -> {
              if (settings.listensMs() > SLACK_MS) {
                listen(id, line, now + left + settings.listensMs());
              } else {
                goAway(id, line);
              }
              ended(open, ClientTimeouts.End.LOST, 0);
            });
  }

  private void goAway(String id, Line line) {
    line.forget();
    line.close();
    settings.witness().ended(id, ClientTimeouts.End.LOST, true);
  }

  /**
   * The client has given this try up; whoever judges the proxy wants to know whether its answer
   * comes late or never.
   */
  private void listen(String id, Line line, double untilMs) {
    listening++;
    TimerWheel.Timer timer =
        wheel.at(
            untilMs,
            () -> {
              listening--;
              goAway(id, line);
            });
    line.instead(
        (end, advice) -> {
          listening--;
          timer.stop();
          if (end == ClientTimeouts.End.LOST && line.crossed()) {
            settings.witness().crossed(id);
          } else {
            settings.witness().ended(id, end, false);
          }
          if (end == ClientTimeouts.End.LOST) {
            line.close();
          } else {
            idle(line);
          }
        });
  }

  private void answered(Open open, Line line, ClientTimeouts.End end, double adviceMs) {
    open.timer.stop();
    boolean crossed = end == ClientTimeouts.End.LOST && line.crossed();
    if (crossed) {
      settings.witness().crossed(open.id);
    } else {
      settings.witness().ended(open.id, end, false);
    }
    if (crossed && !open.resent && (open.kind.safe() || open.kind.keyed())) {
      // The proxy ended the connection between two requests, and this one was on its way.
      open.resent = true;
      open.tries--; // the same try, once more
      tally.resent++;
      send(open);
      return;
    }
    if (end == ClientTimeouts.End.LOST) {
      line.close();
    } else {
      idle(line);
    }
    ended(open, end, adviceMs);
  }

  private void ended(Open open, ClientTimeouts.End end, double adviceMs) {
    double since = generator.nowMs() - open.ask.atMs();
    double again =
        settings.patience().againMs(open.kind, end, open.tries, since, adviceMs, open.lot);
    if (again == ClientTimeouts.NEVER) {
      over(open, end);
    } else {
      wheel.at(generator.nowMs() + again, () -> send(open));
    }
  }

  private void over(Open open, ClientTimeouts.End end) {
    ended++;
    tally.ended(open.ask.kind(), open.ask.atMs(), end, generator.nowMs() - open.ask.atMs());
  }

  // ---- connections

  private void idle(Line line) {
    if (!line.channel().isActive()) {
      return;
    }
    Open next = waiting.get(line.target()).poll();
    if (next == null) {
      idle.get(line.target()).add(line);
      return;
    }
    next.timer.stop();
    double now = generator.nowMs();
    write(
        next, line, now, Math.max(1, settings.patience().tryMs(next.kind, now - next.ask.atMs())));
  }

  /** The connection has ended, or never came up. */
  void gone(Line line) {
    if (lines.remove(line)) {
      connections[line.target()]--;
      idle.get(line.target()).remove(line);
      Open next = finished ? null : waiting.get(line.target()).poll();
      if (next != null) {
        next.timer.stop();
        send(next);
      }
    }
  }

  void stray() {
    tally.strays++;
  }
}
