package cacheproxy.proxy;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.function.Consumer;

/**
 * Wraps the event loop's I/O so that no exception ends the loop. Netty rethrows an {@code Error} of
 * any handler, which would end the loop's thread and with it the program. Here the error is logged,
 * the round ends and the next one begins.
 */
final class GuardedIo implements IoHandler {
  /**
   * Pause after a failed round. Without it, an error that recurs in each round would occupy the
   * core; it delays everything on the loop.
   */
  private static final long FAILURE_PAUSE_MS = 5;

  private static final int MAX_LINES_PER_MINUTE = 20;

  private final PlainLog log = new PlainLog(System.err, MAX_LINES_PER_MINUTE);
  private final IoHandler delegate;
  private EventLoopMonitor watch;

  GuardedIo(IoHandler delegate) {
    this.delegate = delegate;
  }

  /** Wraps the handlers that this factory creates. */
  static IoHandlerFactory factory(IoHandlerFactory delegateFactory) {
    return factory(delegateFactory, whenCreated -> {});
  }

  /** Wraps the handlers that this factory creates, and passes each to {@code whenCreated}. */
  static IoHandlerFactory factory(
      IoHandlerFactory delegateFactory, Consumer<GuardedIo> whenCreated) {
    return executor -> {
      GuardedIo guarded = new GuardedIo(delegateFactory.newHandler(executor));
      whenCreated.accept(guarded);
      return guarded;
    };
  }

  /** Sets the watch that measures each round; null for none. To be called on the event loop. */
  void watch(EventLoopMonitor newWatch) {
    watch = newWatch;
  }

  @Override
  public int run(IoHandlerContext context) {
    try {
      return watch == null ? delegate.run(context) : watch.runIteration(delegate, context);
    } catch (Throwable t) {
      log.writeLine("the event loop goes on after", t);
      try {
        Thread.sleep(FAILURE_PAUSE_MS);
      } catch (InterruptedException e) {
        // an interrupt only ends the pause early
      }
      return 0;
    }
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    if (watch != null) {
      watch.close();
    }
    delegate.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return delegate.register(handle);
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return delegate.isCompatible(type);
  }
}
