package cacheproxy.proxy.discovery;

import cacheproxy.routing.RoutingApi.Member;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * An entry of the endpoint list.
 *
 * @param member what the routing policy knows of the host
 * @param address where the host accepts connections
 */
public record Endpoint(Member member, InetSocketAddress address) {
  private static final int ID_RADIX = 16;

  /** As many hexadecimal digits as an {@code int} holds. */
  private static final int MAX_ID_DIGITS = 8;

  /**
   * The routing policy's id of the host with this name: the hexadecimal digits behind the name's
   * last hyphen, or the name's CRC-32 where there are none. It is the same at every proxy.
   */
  public static int memberId(String hostName) {
    String digits = hostName.substring(hostName.lastIndexOf('-') + 1);
    try {
      if (digits.length() <= MAX_ID_DIGITS) {
        return Integer.parseUnsignedInt(digits, ID_RADIX);
      }
    } catch (NumberFormatException e) {
      // The name does not end in hexadecimal digits: its checksum is used.
    }
    CRC32 checksum = new CRC32();
    checksum.update(hostName.getBytes(StandardCharsets.UTF_8));
    return (int) checksum.getValue();
  }
}
