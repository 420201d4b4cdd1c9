package cacheproxy.proxy;

import java.lang.reflect.InvocationHandler;

/**
 * Handles SIGHUP, which by default ends a JVM. Java has no official API for signals; the JDK's
 * unofficial but supported one is called by reflection, because direct use causes a compiler
 * warning that can't be suppressed.
 */
final class HangupSignal {
  private HangupSignal() {}

  /** Runs the task at each SIGHUP, on a JVM thread; throws if signals can't be handled. */
  static void handle(Runnable task) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    InvocationHandler run =
        (self, method, args) ->
            switch (method.getName()) {
              case "handle" -> {
                task.run();
                yield null;
              }
              case "equals" -> self == args[0];
              case "hashCode" -> System.identityHashCode(self);
              default -> "on SIGHUP";
            };
    Object on =
        java.lang.reflect.Proxy.newProxyInstance(
            HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, run);
    signal
        .getMethod("handle", signal, handler)
        .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), on);
  }
}
