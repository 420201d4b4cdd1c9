package cacheproxy.proxy.peers;

import cacheproxy.Main;
import cacheproxy.shared.SharedState;
import java.util.Set;

/** The program with nothing that holds back what all proxies together send a cold node. */
public final class WithoutRights {
  private WithoutRights() {}

  public static void main(String[] args) {
    SharedLink.without = Set.of(SharedState.Part.RIGHTS);
    Main.main(args);
  }
}
