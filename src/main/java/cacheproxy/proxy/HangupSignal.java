package cacheproxy.proxy;

import java.lang.reflect.InvocationHandler;

/**
 * Takes SIGHUP, on which a JVM that is not told otherwise ends. Java has no API of its own for
 * signals; the JDK's supported but unofficial one is reached by reflection, as naming it is a
 * warning that can't be turned off.
 */
final class HangupSignal {
  private HangupSignal() {}

  /**
   * Runs the task at each SIGHUP, on a thread of the JVM's; throws where signals can't be taken.
   */
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
