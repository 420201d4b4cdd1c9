package cacheproxy.settings;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The command {@code check}. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = {
      "Reads an operator's file as serve --settings does and prints what it sets.",
      "Exit code 0: it can be used; 2: it can't, and one line says why. Bounds that follow from the platform's limits,",
      "as the greatest number of places, are looked at by serve alone."
    })
public final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The operator's file.")
  private Path file;

  /** Exit code: 0 usable, 2 not. */
  public static int run(String... args) {
    return new CommandLine(new CheckCommand())
        .setParameterExceptionHandler(
            (e, parsed) -> {
              System.err.println(
                  "check: "
                      + e.getMessage().lines().findFirst().orElse("")
                      + " (see check --help)");
              return 2;
            })
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              System.err.println(e.getMessage());
              return 2;
            })
        .execute(args);
  }

  @Override
  public Integer call() throws SettingsException {
    OperatorFile read = OperatorFile.read(file);
    int set = 0;
    for (Table table : read.tables()) {
      for (String line : table.lines()) {
        System.out.println(line);
        set++;
      }
    }
    System.out.println(file + ": can be used, sets " + set + (set == 1 ? " key" : " keys"));
    return 0;
  }
}
