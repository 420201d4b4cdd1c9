package cacheproxy.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The command {@code check}: says whether an operator's file can be used, and what it sets. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = {
      "Reads an operator's file as serve --settings does and prints what it sets.",
      "Exit code 0: it can be used; 2: it can't, and one line says why. Bounds that follow from the platform's limits,",
      "as the greatest number of places, are looked at by serve alone."
    })
public final class CheckCommand implements Callable<Integer> {
  private static final int EXIT_USABLE = 0;
  private static final int EXIT_UNUSABLE = 2;

  @Parameters(paramLabel = "FILE", description = "The operator's file.")
  private Path file;

  /** Runs the command; returns its exit code, 0 for a usable file and 2 otherwise. */
  public static int run(String... args) {
    return new CommandLine(new CheckCommand())
        .setParameterExceptionHandler((error, commandLine) -> reportUsage(error))
        .setExecutionExceptionHandler((error, commandLine, parsed) -> reportUnusable(error))
        .execute(args);
  }

  private static int reportUsage(Exception error) {
    String firstLine = error.getMessage().lines().findFirst().orElse("");
    System.err.println("check: " + firstLine + " (see check --help)");
    return EXIT_UNUSABLE;
  }

  private static int reportUnusable(Exception error) {
    System.err.println(error.getMessage());
    return EXIT_UNUSABLE;
  }

  @Override
  public Integer call() throws SettingsException {
    List<String> assignments =
        OperatorFile.read(file).tables().stream()
            .flatMap(table -> table.describe().stream())
            .toList();
    assignments.forEach(System.out::println);
    int count = assignments.size();
    System.out.println(file + ": can be used, sets " + count + (count == 1 ? " key" : " keys"));
    return EXIT_USABLE;
  }
}
