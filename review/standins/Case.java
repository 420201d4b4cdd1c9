package standins;

import java.nio.file.Path;

/** Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
public final class Case {
  private static final long MAX_RUN_MS = 110_000;

  /** The body of a case. */
  public interface Body {
    /**
     * Plays the case.
     *
     * @param trouble whether the disruption happens
     * @return what broke the rule; empty if it held
     */
    String run(RunRecord record, boolean trouble) throws Exception;
  }

  private Case() {}

  /**
   * Runs the case and ends the process.
   *
   * @param arguments the folder of the case
   */
  public static void main(String[] arguments, Body body) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Server.start(Case::endAfterTimeout);
    int code = 2;
    try (RunRecord record = new RunRecord(Path.of(arguments[0], "record.txt"))) {
      record.line("TROUBLE=%d", trouble ? 1 : 0);
      try {
        String broken = body.run(record, trouble);
        code = broken.isEmpty() ? 0 : 1;
        String verdict = code == 0 ? "the rule held" : "RULE BROKEN: " + broken;
        record.line("%s", verdict);
        System.out.println(verdict);
      } catch (Exception | Error e) {
        record.line("the case could not run: %s", e);
        System.err.println("the case could not run: " + e);
      }
    }
    System.exit(code);
  }

  private static void endAfterTimeout() {
    try {
      Thread.sleep(MAX_RUN_MS);
    } catch (InterruptedException e) {
      return;
    }
    System.err.println("the case could not run: it took too long");
    System.exit(2);
  }
}
