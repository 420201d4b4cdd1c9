package cacheproxy.site;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A block of loopback addresses 127.A.B.* that one test rig reserves for itself. The site listens
 * at 127.A.B.1 and, for each proxy, at one more address from 127.A.B.10 on, so that the local
 * address of a connection shows which proxy opened it. The ports lie below the range from which the
 * system assigns ephemeral ports, so that a released port is still free when a node restarts. A
 * listening lock port reserves the block until {@link #close}, also against other rigs on the same
 * machine. Not thread-safe.
 */
public final class Loopback implements AutoCloseable {
  /** Maximum number of proxies with an address of their own. */
  public static final int MAX_PROXIES = 200;

  private static final int LOCK_PORT = 9_999;
  private static final int FIRST_PORT = 10_000;
  private static final int FIRST_PROXY_OCTET = 10;
  private static final int MAX_TRIES = 500;

  private final ServerSocket lock;
  private final String prefix;
  private final int endPort;
  private int nextPort = FIRST_PORT;

  public Loopback() throws IOException {
    endPort = firstEphemeralPort();
    long at = ProcessHandle.current().pid() * 31 + System.nanoTime() / 1000;
    IOException last = null;
    ServerSocket held = null;
    String tried = "";
    for (int i = 0; i < MAX_TRIES && held == null; i++, at++) {
      tried =
          "127." + (64 + Math.floorMod(at / 250, 128L)) + "." + (1 + Math.floorMod(at, 250L)) + ".";
      try {
        held = new ServerSocket(LOCK_PORT, 1, InetAddress.getByName(tried + "1"));
      } catch (IOException e) {
        last = e;
      }
    }
    if (held == null) {
      throw new IOException("no loopback address is free: " + last.getMessage());
    }
    lock = held;
    prefix = tried;
  }

  /**
   * The lowest port that the system assigns as an ephemeral port, which ends the range of usable
   * ports. The range always has at least 5,000 ports; if the setting of the system cannot be read,
   * it ends at the default of Linux.
   */
  private static int firstEphemeralPort() {
    try {
      int from =
          Integer.parseInt(
              Files.readString(Path.of("/proc/sys/net/ipv4/ip_local_port_range"))
                  .strip()
                  .split("\\s+")[0]);
      return Math.max(FIRST_PORT + 5000, from);
    } catch (IOException | NumberFormatException e) {
      return 32_768;
    }
  }

  public String host() {
    return prefix + "1";
  }

  /** The address of the site for the proxy with this number. */
  public String hostForProxy(int proxy) {
    if (proxy < 0 || proxy >= MAX_PROXIES) {
      throw new IllegalArgumentException(
          "proxy number " + proxy + ": allowed are 0 to " + (MAX_PROXIES - 1));
    }
    return prefix + (FIRST_PROXY_OCTET + proxy);
  }

  /**
   * The number of the proxy to which a local address of the site was assigned, or -1 for the
   * address of the site itself.
   */
  static int proxyAt(InetSocketAddress local) {
    return Math.max(-1, (local.getAddress().getAddress()[3] & 0xFF) - FIRST_PROXY_OCTET);
  }

  /** Returns a port that is free for TCP and UDP at {@link #host} and that no other caller gets. */
  public int port() throws IOException {
    while (nextPort < endPort) {
      int port = nextPort++;
      InetAddress at = InetAddress.getByName(host());
      try (ServerSocket tcp = new ServerSocket(port, 1, at);
          DatagramSocket udp = new DatagramSocket(port, at)) {
        return port;
      } catch (IOException e) {
        // another process listens on this port at all addresses: tries the next port
      }
    }
    throw new IOException("no port is free at " + host());
  }

  @Override
  public void close() throws IOException {
    lock.close();
  }
}
