package cacheproxy.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Measures normal traffic beside slow peers; a command of docs/limits-measured.md, not a test.
 * Arrivals are drawn ahead and don't wait for answers, and latency counts from the intended time.
 * The proxy is a process of its own with the platform's JVM settings; slow peers come again as soon
 * as they are cut off.
 *
 * <p>Arguments: requests a second, seconds a run, runs, descriptors of the proxy, memory in MB,
 * then numbers of slow peers.
 */
final class SlowPeersBench {
  private static final int CONNECTIONS = 32;

  /** What the first seconds take is compiling, with and without slow peers. */
  private static final long WARM_NANOS = 3_000_000_000L;

  private SlowPeersBench() {}

  public static void main(String[] args) throws Exception {
    int rate = Integer.parseInt(args[0]);
    int seconds = Integer.parseInt(args[1]);
    int runs = Integer.parseInt(args[2]);
    int sockets = Integer.parseInt(args[3]);
    int memoryMb = Integer.parseInt(args[4]);
    System.out.printf(
        "%d requests a second for %d s, %d descriptors, %d MB, %d cores, Java %s%n",
        rate,
        seconds,
        sockets,
        memoryMb,
        Runtime.getRuntime().availableProcessors(),
        System.getProperty("java.version"));
    for (int i = 5; i < args.length; i++) {
      int slow = Integer.parseInt(args[i]);
      for (int run = 0; run < runs; run++) {
        one(rate, seconds, sockets, memoryMb, slow, run);
      }
    }
    System.exit(0);
  }

  private static void one(int rate, int seconds, int sockets, int memoryMb, int slowPeers, int run)
      throws Exception {
    Path folder = Files.createTempDirectory("slow-peers");
    try (Stage stage = new Stage()) {
      stage.sockets = sockets;
      stage.memoryMb = memoryMb;
      String value = "v".repeat(1500);
      String longValue = "v".repeat(64 << 10);
      List<String> hosts = new ArrayList<>();
      for (int n = 1; n <= 4; n++) {
        hosts.add(
            Stage.cache(
                "s-" + n,
                stage.peer(
                    line -> {
                      for (String text; (text = line.read()) != null; ) {
                        String v = text.startsWith("mg long") ? longValue : value;
                        line.write(
                            "VA " + v.length() + " O" + Stage.id(text) + "\r\n" + v + "\r\n");
                      }
                    })));
      }
      String config = stage.config(stage.quietDiscovery().address(), hosts.toArray(new String[0]));
      // the platform's JVM for this much memory, as deploy/serve.sh has it
      Program program =
          stage.keep(
              new Program(
                  folder,
                  config,
                  0,
                  "-XX:+UseSerialGC -XX:TieredStopAtLevel=1",
                  "-XX:ActiveProcessorCount=1 -Xms32m -Xmx32m -Xmn10m -XX:MaxDirectMemorySize="
                      + memoryMb / 4
                      + "m",
                  "-Dio.netty.allocator.type=pooled -Dio.netty.allocator.numDirectArenas=1",
                  "-Dio.netty.allocator.maxOrder=4",
                  "cacheproxy.Main",
                  "serve"));
      program.connect().close();
      AtomicBoolean going = new AtomicBoolean(true);
      AtomicInteger slowNow = new AtomicInteger();
      ConcurrentLinkedQueue<Double> cutAfter = new ConcurrentLinkedQueue<>();
      for (int i = 0; i < slowPeers; i++) {
        int number = i;
        thread(() -> slow(program.port, number, going, slowNow, cutAfter));
      }
      Stage.await(() -> slowNow.get() >= Math.min(slowPeers, sockets / 3));
      ConcurrentLinkedQueue<Double> latencies = new ConcurrentLinkedQueue<>();
      AtomicInteger failed = new AtomicInteger();
      AtomicInteger cut = new AtomicInteger();
      double[] lag = new double[CONNECTIONS];
      List<Thread> all = new ArrayList<>();
      long start = System.nanoTime() + 500_000_000L;
      for (int c = 0; c < CONNECTIONS; c++) {
        int number = c;
        all.add(
            thread(
                () ->
                    healthy(
                        program.port,
                        number,
                        run,
                        (double) rate / CONNECTIONS,
                        start,
                        seconds,
                        latencies,
                        failed,
                        cut,
                        lag)));
      }
      for (Thread t : all) {
        t.join();
      }
      int descriptors = program.descriptors();
      if (slowPeers > 0) { // told once in ten seconds, while they are still there
        Stage.await(() -> program.hasLogged("at most {"));
      }
      going.set(false);
      double[] sorted = latencies.stream().mapToDouble(d -> d).sorted().toArray();
      double[] cuts = cutAfter.stream().mapToDouble(d -> d).sorted().toArray();
      program.log().stream()
          .filter(l -> l.startsWith("cut off"))
          .reduce((a, b) -> b)
          .ifPresent(System.out::println);
      System.out.printf(
          "slow %4d (%d in)  run %d  answered %d  failed %d  healthy cut %d  p50 %.2f ms  p99 %.2f ms"
              + "  most %.1f ms  own lag at most %.2f ms  slow cut after p50 %.2f s  p99 %.2f s (%d)"
              + "  held at most %d KB  descriptors %d  memory %d MB%n",
          slowPeers,
          slowNow.get(),
          run,
          sorted.length,
          failed.get(),
          cut.get(),
          at(sorted, 0.5),
          at(sorted, 0.99),
          at(sorted, 1),
          Arrays.stream(lag).max().orElse(0),
          at(cuts, 0.5) / 1000,
          at(cuts, 0.99) / 1000,
          cuts.length,
          held(program.log()),
          descriptors,
          memory(program));
    }
  }

  /** Of what the proxy tells of itself while it cuts peers off. */
  private static long held(List<String> log) {
    long most = 0;
    for (String line : log) {
      long sum = 0;
      if (!line.contains("at most {")) {
        continue;
      }
      Matcher m =
          Pattern.compile("(?:INPUT|VALUE|READING|ANSWER|OUTPUT)=(\\d+)")
              .matcher(line.substring(line.indexOf("at most {")));
      while (m.find()) {
        sum += Long.parseLong(m.group(1));
      }
      most = Math.max(most, sum);
    }
    return most >> 10;
  }

  private static long memory(Program program) throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + program.process.pid() + "/status"))) {
      if (line.startsWith("VmHWM:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) >> 10;
      }
    }
    return 0;
  }

  private static double at(double[] sorted, double part) {
    return sorted.length == 0
        ? Double.NaN
        : sorted[(int) Math.min(sorted.length - 1, Math.ceil(part * sorted.length) - 1)];
  }

  private static Thread thread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                System.err.println("driver: " + e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private interface Task {
    void run() throws Exception;
  }

  /**
   * Sends at the times that were drawn ahead; another thread reads the answers, which come in
   * order.
   */
  private static void healthy(
      int port,
      int number,
      int run,
      double perSecond,
      long start,
      int seconds,
      ConcurrentLinkedQueue<Double> latencies,
      AtomicInteger failed,
      AtomicInteger cut,
      double[] lag)
      throws Exception {
    Random random = new Random(1000L * run + number);
    List<Long> times = new ArrayList<>();
    for (double at = -Math.log(1 - random.nextDouble()) / perSecond;
        at < seconds;
        at += -Math.log(1 - random.nextDouble()) / perSecond) {
      times.add(start + (long) (at * 1e9));
    }
    Peer.Line line = new Peer.Line(new Socket("127.0.0.1", port), new ConcurrentLinkedQueue<>());
    Thread reader =
        thread(
            () -> {
              for (long due : times) {
                String head = line.read();
                if (head == null) {
                  cut.incrementAndGet();
                  return;
                }
                if (!head.startsWith("VA ")) {
                  failed.incrementAndGet();
                  continue;
                }
                line.bytes(1502);
                if (due - start > WARM_NANOS) {
                  latencies.add((System.nanoTime() - due) / 1e6);
                }
              }
            });
    for (int i = 0; i < times.size(); i++) {
      long wait;
      while ((wait = times.get(i) - System.nanoTime()) > 0) {
        Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
      }
      lag[number] = Math.max(lag[number], -wait / 1e6);
      try {
        line.write(
            "mg k" + random.nextInt(5000) + " v Oh" + number + "-" + i + " Pc=read,t=a,d=2000\r\n");
      } catch (IOException e) {
        return; // the reader has counted it
      }
    }
    reader.join(5000);
    line.close();
  }

  /**
   * By turns one that takes an answer a byte at a time, writes a value so, stops in one, or says
   * nothing.
   */
  private static void slow(
      int port,
      int number,
      AtomicBoolean going,
      AtomicInteger now,
      ConcurrentLinkedQueue<Double> cutAfter)
      throws Exception {
    for (int round = 0; going.get(); round++) {
      Socket socket = new Socket();
      socket.setReceiveBufferSize(4 << 10);
      socket.setSoTimeout(50);
      long begun = 0;
      boolean in = false;
      try {
        // players have addresses of their own
        socket.bind(
            new InetSocketAddress(
                java.net.InetAddress.getByAddress(
                    new byte[] {127, 1, (byte) (number / 250), (byte) (1 + number % 250)}),
                0));
        socket.connect(new InetSocketAddress("127.0.0.1", port), 5000);
        now.incrementAndGet();
        in = true;
        begun = System.nanoTime();
        StringBuilder first = new StringBuilder();
        for (int i = 0; i < 16 && number % 4 < 2; i++) {
          first.append(Stage.read("long" + i, "s" + number + "-" + round + "-" + i));
        }
        if (number % 4 == 2) {
          first.append("ms a 60000 Os" + number + "-" + round + " Pc=pay,t=a,d=8000,k=1\r\n");
        }
        socket
            .getOutputStream()
            .write(first.toString().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        while (going.get()) {
          Thread.sleep(100);
          if (number % 4 == 2) {
            socket.getOutputStream().write('x');
          } else if (number % 4 == 0 && socket.getInputStream().read() < 0) {
            break;
          } else if (number % 4 == 3) {
            try {
              if (socket.getInputStream().read() < 0) {
                break;
              }
            } catch (java.net.SocketTimeoutException e) {
              // nothing, as said
            }
          } else if (number % 4 == 1) {
            socket.getOutputStream().write('m'); // it reads nothing: only writing shows the end
          }
        }
      } catch (IOException e) {
        // cut off
      }
      if (in) {
        now.decrementAndGet();
        if (going.get()) {
          cutAfter.add((System.nanoTime() - begun) / 1e6);
        }
      }
      socket.close();
    }
  }
}
