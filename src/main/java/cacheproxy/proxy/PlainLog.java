package cacheproxy.proxy;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.PrintStream;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Writes plain log lines to standard error, for this program and as Netty's logger. The JDK's
 * logger opens files (time zones) and loads classes when it logs its first line; without a free
 * descriptor it throws an {@code Error} from the handler that reports the problem. This logger
 * throws nothing, and limits the number of lines per minute.
 */
final class PlainLog extends InternalLoggerFactory {
  /** Maximum number of Netty's log lines per minute. */
  private static final int MAX_NETTY_LINES_PER_MINUTE = 20;

  private static final int MAX_LINE_LENGTH = 500;
  private static final long MINUTE_NANOS = 60_000_000_000L;

  private final PrintStream out;
  private final int maxLinesPerMinute;
  private final AtomicInteger lines = new AtomicInteger();
  private volatile long minuteStartNanos = System.nanoTime();

  /**
   * Creates a logger.
   *
   * @param maxLinesPerMinute lines beyond this number per minute are dropped
   */
  PlainLog(PrintStream out, int maxLinesPerMinute) {
    this.out = out;
    this.maxLinesPerMinute = maxLinesPerMinute;
  }

  /** Installs this as Netty's logger; classes that already have a logger keep theirs. */
  static void install() {
    InternalLoggerFactory.setDefaultFactory(new PlainLog(System.err, MAX_NETTY_LINES_PER_MINUTE));
  }

  @Override
  protected InternalLogger newInstance(String name) {
    return new Logger(name.substring(name.lastIndexOf('.') + 1));
  }

  /** Logs one line. Never throws, even without memory for the text. */
  void writeLine(String text, Throwable cause) {
    try {
      long now = System.nanoTime();
      if (now - minuteStartNanos > MINUTE_NANOS) {
        minuteStartNanos = now;
        lines.set(0);
      }
      if (lines.incrementAndGet() > maxLinesPerMinute) {
        return;
      }
      String message = cause == null ? text : text + ": " + cause;
      message = message.replace('\n', ' ');
      out.println(
          message.length() > MAX_LINE_LENGTH ? message.substring(0, MAX_LINE_LENGTH) : message);
    } catch (Throwable t) {
      // A failure of the log itself can't be reported.
    }
  }

  private final class Logger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    private Logger(String name) {
      super(name);
    }

    private void logFormatted(String text, Object... values) {
      if (values.length == 0) {
        writeLine(name() + ": " + text, null);
        return;
      }
      Throwable cause = values[values.length - 1] instanceof Throwable t ? t : null;
      StringBuilder message = new StringBuilder(name()).append(": ");
      int at = 0;
      for (Object value : values) {
        int placeholder = text.indexOf("{}", at);
        if (placeholder < 0) {
          break;
        }
        message.append(text, at, placeholder).append(value);
        at = placeholder + 2;
      }
      writeLine(message.append(text.substring(at)).toString(), cause);
    }

    @Override
    public boolean isTraceEnabled() {
      return false;
    }

    @Override
    public void trace(String text) {}

    @Override
    public void trace(String text, Object a) {}

    @Override
    public void trace(String text, Object a, Object b) {}

    @Override
    public void trace(String text, Object... values) {}

    @Override
    public void trace(String text, Throwable cause) {}

    @Override
    public boolean isDebugEnabled() {
      return false;
    }

    @Override
    public void debug(String text) {}

    @Override
    public void debug(String text, Object a) {}

    @Override
    public void debug(String text, Object a, Object b) {}

    @Override
    public void debug(String text, Object... values) {}

    @Override
    public void debug(String text, Throwable cause) {}

    @Override
    public boolean isInfoEnabled() {
      return false;
    }

    @Override
    public void info(String text) {}

    @Override
    public void info(String text, Object a) {}

    @Override
    public void info(String text, Object a, Object b) {}

    @Override
    public void info(String text, Object... values) {}

    @Override
    public void info(String text, Throwable cause) {}

    @Override
    public boolean isWarnEnabled() {
      return true;
    }

    @Override
    public void warn(String text) {
      logFormatted(text);
    }

    @Override
    public void warn(String text, Object a) {
      logFormatted(text, a);
    }

    @Override
    public void warn(String text, Object... values) {
      logFormatted(text, values);
    }

    @Override
    public void warn(String text, Object a, Object b) {
      logFormatted(text, a, b);
    }

    @Override
    public void warn(String text, Throwable cause) {
      writeLine(name() + ": " + text, cause);
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }

    @Override
    public void error(String text) {
      logFormatted(text);
    }

    @Override
    public void error(String text, Object a) {
      logFormatted(text, a);
    }

    @Override
    public void error(String text, Object a, Object b) {
      logFormatted(text, a, b);
    }

    @Override
    public void error(String text, Object... values) {
      logFormatted(text, values);
    }

    @Override
    public void error(String text, Throwable cause) {
      writeLine(name() + ": " + text, cause);
    }
  }
}
