package cacheproxy.proxy.discovery;

import cacheproxy.gossip.EndpointVersionGossip;
import cacheproxy.proxy.peers.MembershipLink;
import cacheproxy.proxy.peers.PeerSocket;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Connects the {@link EndpointVersionGossip} of this proxy to its timers and its peer socket.
 * Exchanges the version of the endpoint list with peers by datagrams and reports when this proxy's
 * watch of the list is stale. Confined to the event loop.
 */
final class VersionGossipLink {
  private final EndpointVersionGossip gossip;
  private final DiscoveryContext context;
  private final PeerSocket peers;

  /**
   * Source of the number of live proxies; empty if membership is disabled. Without it, gossip
   * assumes that all configured proxies are alive.
   */
  private final Optional<MembershipLink> members;

  private final SplittableRandom random;
  private final Runnable onStaleWatch;

  /** The timer of the next {@link #tick}. */
  private DiscoveryContext.Timer timer = () -> {};

  /**
   * @param random draws the random delays of gossip messages and of calls to the service
   * @param onStaleWatch called when peers know a newer version of the list that this proxy's watch
   *     has not received
   */
  VersionGossipLink(
      EndpointVersionGossip gossip,
      DiscoveryContext context,
      PeerSocket peers,
      Optional<MembershipLink> members,
      SplittableRandom random,
      Runnable onStaleWatch) {
    this.gossip = gossip;
    this.context = context;
    this.peers = peers;
    this.members = members;
    this.random = random;
    this.onStaleWatch = onStaleWatch;
    peers.onEndpointVersions(this::peerVersion);
  }

  /** Records the version of a list that this proxy has received from the discovery service. */
  void ownVersion(long version) {
    gossip.onOwnVersion(context.nowMs(), version, random.nextDouble());
    schedule();
  }

  /**
   * Estimates the queue time of the discovery service from the response time of a call. A rejected
   * call counts as the longest queue time, however fast the response was, because the service
   * rejects calls when its queue is full. A slower answer is ignored, because the service may have
   * held the call until a change came.
   */
  void recordResponseTime(double elapsedMs, boolean answered) {
    if (!answered) {
      gossip.recordQueueTime(context.nowMs(), EndpointVersionGossip.MAX_QUEUE_MS);
    } else if (elapsedMs <= EndpointVersionGossip.MAX_QUEUE_MS) {
      gossip.recordQueueTime(context.nowMs(), elapsedMs);
    }
  }

  /**
   * Returns the estimated time that a call waits in the service's queue, in milliseconds, from the
   * latest calls.
   */
  double queueMs() {
    return gossip.queueMs(context.nowMs());
  }

  private void peerVersion(int peer, long version) {
    gossip.onPeerVersion(context.nowMs(), peer, version, random.nextDouble());
    schedule();
  }

  private void schedule() {
    members.ifPresent(link -> gossip.setTierSize(link.aliveCount(), link.medianRoundTripMs()));
    timer.cancel();
    double delayMs = gossip.nextActionMs() - context.nowMs();
    timer =
        delayMs == Double.POSITIVE_INFINITY
            ? () -> {}
            : context.schedule(Math.max(0, delayMs), this::tick);
  }

  private void tick() {
    gossip.versionToBroadcast(context.nowMs()).ifPresent(peers::broadcastEndpointVersion);
    if (gossip.shouldPoll(context.nowMs())) {
      onStaleWatch.run();
    }
    schedule();
  }
}
