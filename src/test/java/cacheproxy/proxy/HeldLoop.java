package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An allocator that holds the loop up within a round, once: buffers are had as a socket is read,
 * which is after the loop has selected.
 */
final class HeldLoop extends PooledByteBufAllocator {
  /** What a test does. */
  interface Step {
    void run() throws Exception;
  }

  private final AtomicReference<CountDownLatch> armed = new AtomicReference<>();
  private final CountDownLatch held = new CountDownLatch(1);
  private final CountDownLatch release = new CountDownLatch(1);

  HeldLoop() {
    super(false);
  }

  /** The next buffer that is had for reading holds the loop. */
  void arm() {
    armed.set(held);
  }

  void awaitHeld() throws InterruptedException {
    held.await();
  }

  void release() {
    release.countDown();
  }

  /** The loop stands still from the round that this begins until the rest is done. */
  void during(Step begins, Step rest) throws Exception {
    arm();
    begins.run();
    awaitHeld();
    rest.run();
    release();
  }

  @Override
  public ByteBuf ioBuffer(int initialCapacity) {
    CountDownLatch latch = armed.getAndSet(null);
    if (latch != null) {
      latch.countDown();
      try {
        release.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return super.ioBuffer(initialCapacity);
  }
}
