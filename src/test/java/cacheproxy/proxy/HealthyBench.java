package cacheproxy.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts false cuts; a command of docs/limits-measured.md, not a test. Healthy connections beside
 * slow peers: each asks one to four times, some at once, some with pauses, some for long values,
 * some writing at a line of 32 KiB a second. A false cut is a request without its whole answer. A
 * connection that ends between requests, as PROTOCOL allows, is counted by itself, and its request
 * is sent once more.
 *
 * <p>Arguments: connections, threads, slow peers, descriptors, memory in MB.
 */
final class HealthyBench {
  private HealthyBench() {}

  public static void main(String[] args) throws Exception {
    int connections = Integer.parseInt(args[0]);
    int threads = Integer.parseInt(args[1]);
    int slow = Integer.parseInt(args[2]);
    Path folder = Files.createTempDirectory("healthy");
    AtomicInteger next = new AtomicInteger();
    AtomicInteger asked = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    AtomicInteger falseCuts = new AtomicInteger();
    AtomicInteger crossings = new AtomicInteger();
    try (Stage stage = new Stage()) {
      stage.sockets = Integer.parseInt(args[3]);
      stage.memoryMb = Integer.parseInt(args[4]);
      String longValue = "v".repeat(64 << 10);
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  String v = text.startsWith("mg long") ? longValue : "hi";
                  line.write("VA " + v.length() + " O" + Stage.id(text) + "\r\n" + v + "\r\n");
                }
              });
      Peer origin =
          stage.peer(
              line -> {
                for (String head; (head = line.head()) != null; ) {
                  line.bytes(20_000);
                  line.http("200 OK", "", "r1");
                }
              });
      String config =
          stage.config(
              stage.quietDiscovery().address(), Stage.cache("s-1", cache), Stage.origin(origin));
      Program program =
          stage.keep(
              new Program(
                  folder,
                  config,
                  0,
                  "-XX:+UseSerialGC -XX:TieredStopAtLevel=1",
                  "-XX:ActiveProcessorCount=1 -Xms32m -Xmx32m",
                  "cacheproxy.Main",
                  "serve"));
      program.connect().close();
      List<Thread> all = new ArrayList<>();
      for (int s = 0; s < slow; s++) {
        int number = s;
        Thread t = new Thread(() -> slow(program.port, number));
        t.setDaemon(true);
        t.start();
      }
      long begun = System.nanoTime();
      for (int t = 0; t < threads; t++) {
        int seed = t;
        Thread thread =
            new Thread(
                () -> {
                  Random random = new Random(seed);
                  for (int i; (i = next.getAndIncrement()) < connections; ) {
                    one(program.port, i, random, asked, served, refused, falseCuts, crossings);
                  }
                });
        thread.start();
        all.add(thread);
      }
      for (Thread t : all) {
        t.join();
      }
      System.out.printf(
          "%d healthy connections beside %d slow peers in %.0f s: asked %d, served %d, refused %d,"
              + " false cuts %d, ended between requests %d%n",
          connections,
          slow,
          (System.nanoTime() - begun) / 1e9,
          asked.get(),
          served.get(),
          refused.get(),
          falseCuts.get(),
          crossings.get());
      program.log().stream()
          .filter(l -> l.startsWith("cut off"))
          .skip(1)
          .limit(2)
          .forEach(System.out::println);
    }
    System.exit(0);
  }

  private static Peer.Line connect(int port, Random random) throws IOException {
    Socket socket = new Socket();
    // A port each for 100,000 connections: from many addresses, as one has 28,000 a minute.
    socket.bind(
        new InetSocketAddress(
            InetAddress.getByAddress(
                new byte[] {127, 0, (byte) random.nextInt(250), (byte) (1 + random.nextInt(250))}),
            0));
    socket.connect(new InetSocketAddress("127.0.0.1", port), 10_000);
    return new Peer.Line(socket, new ConcurrentLinkedQueue<>());
  }

  private static void one(
      int port,
      int number,
      Random random,
      AtomicInteger asked,
      AtomicInteger served,
      AtomicInteger refused,
      AtomicInteger falseCuts,
      AtomicInteger crossings) {
    int requests = 1 + random.nextInt(4);
    int kind = random.nextInt(20);
    Peer.Line line = null;
    try {
      for (int r = 0; r < requests; r++) {
        String id = "q" + number + "-" + r;
        asked.incrementAndGet();
        boolean crossed = false;
        for (int tries = 0; ; tries++) {
          if (line == null) {
            line = connect(port, random);
          }
          String first = ask(line, id, kind);
          if (first != null) {
            (first.startsWith("SERVER_ERROR busy") ? refused : served).incrementAndGet();
            break;
          }
          line.close();
          line = null;
          if (r == 0 || tries > 0 || crossed) {
            falseCuts.incrementAndGet();
            return;
          }
          crossed = true;
          crossings.incrementAndGet();
        }
        if (kind == 2) {
          Thread.sleep(random.nextInt(300));
        }
      }
      line.close();
    } catch (Exception e) {
      System.err.println("driver: " + e);
      falseCuts.incrementAndGet();
    }
  }

  /**
   * The first line of the answer, once all of it has come; null: the connection ended before that.
   */
  private static String ask(Peer.Line line, String id, int kind) throws Exception {
    try {
      if (kind == 0) { // a line of 32 KiB a second, in parts
        line.write("ms w 20000 O" + id + " Pc=save,t=a,d=9000,k=" + id + "\r\n");
        String part = "x".repeat(4000);
        for (int i = 0; i < 5; i++) {
          Thread.sleep(125);
          line.write(part);
        }
        line.write("\r\n");
        return line.read();
      }
      line.write(Stage.read(kind == 1 ? "long" : "a", id));
      String first = line.read();
      if (first != null && first.startsWith("VA ")) {
        int n = Integer.parseInt(first.split(" ")[1]) + 2;
        return line.bytes(n).length() == n ? first : null;
      }
      return first;
    } catch (IOException e) {
      return null;
    }
  }

  private static void slow(int port, int number) {
    for (int round = 0; ; round++) {
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(4 << 10);
        socket.bind(
            new InetSocketAddress(
                InetAddress.getByAddress(
                    new byte[] {127, 1, (byte) (number % 250), (byte) (1 + round % 250)}),
                0));
        socket.connect(new InetSocketAddress("127.0.0.1", port), 5000);
        String text =
            number % 2 == 0
                ? "ms a 60000 Osl" + number + "-" + round + " Pc=pay,t=a,d=8000,k=1\r\n"
                : Stage.read("long", "sl" + number + "-" + round);
        socket.getOutputStream().write(text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
        while (true) {
          Thread.sleep(100);
          socket.getOutputStream().write('x');
        }
      } catch (Exception e) {
        // cut off, or no place: comes again
      }
    }
  }
}
