package cacheproxy.proxy;

import cacheproxy.overload.CpuLoadShedder;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;

/**
 * Reports the event loop's iterations to the load shedder. Netty calls {@link #canBlock} when it is
 * about to select and {@link #shouldReportActiveIoTime} when it has selected; this class intercepts
 * the calls and forwards them to the event loop.
 */
final class EventLoopMonitor implements IoHandlerContext {
  /**
   * Scheduling statistics of the calling thread. The file is opened once, by the event loop's
   * thread, because the path resolves to the thread that opens it.
   */
  private static final String SCHEDSTAT_PATH = "/proc/thread-self/schedstat";

  private final Dispatcher dispatcher;
  private final CpuLoadShedder loadShedder;
  private final byte[] buffer = new byte[128];
  private RandomAccessFile schedstat;
  private IoHandlerContext loop;

  /** Creates a monitor; must be called on the event loop. */
  EventLoopMonitor(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
    loadShedder = dispatcher.loadShedder();
    try {
      schedstat = new RandomAccessFile(SCHEDSTAT_PATH, "r");
    } catch (IOException e) {
      // the system has no such file; the load shedder's report shows NaN
    }
  }

  /** Runs one iteration of the event loop: selecting, then processing what was selected. */
  int runIteration(IoHandler io, IoHandlerContext context) {
    loop = context;
    double now = dispatcher.now();
    if (loadShedder.beforeSelect(now, now + context.delayNanos(System.nanoTime()) / 1e6)) {
      loadShedder.endInterval(now, readSchedstat());
    }
    return io.run(this);
  }

  /** The thread's scheduling statistics; empty if the system does not provide them. */
  private String readSchedstat() {
    try {
      if (schedstat != null) {
        schedstat.seek(0);
        return new String(
            buffer, 0, Math.max(0, schedstat.read(buffer)), StandardCharsets.ISO_8859_1);
      }
    } catch (IOException e) {
      close();
    }
    return "";
  }

  void close() {
    try {
      if (schedstat != null) {
        schedstat.close();
      }
    } catch (IOException e) {
      // the file is not used again either way
    }
    schedstat = null;
  }

  @Override
  public boolean canBlock() {
    return loop.canBlock();
  }

  @Override
  public long delayNanos(long currentTimeNanos) {
    return loop.delayNanos(currentTimeNanos);
  }

  @Override
  public long deadlineNanos() {
    return loop.deadlineNanos();
  }

  @Override
  public boolean shouldReportActiveIoTime() {
    loadShedder.afterSelect(dispatcher.now());
    return loop.shouldReportActiveIoTime();
  }

  @Override
  public void reportActiveIoTime(long activeNanos) {
    loop.reportActiveIoTime(activeNanos);
  }
}
