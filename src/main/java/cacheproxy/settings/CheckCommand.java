package cacheproxy.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The command {@code check}: validates an operator's file and prints the values that it sets. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = {
      "Reads an operator's file as serve --settings does and prints the values that it sets.",
      "Exit code 0: the file is valid; 2: it is not, and one line gives the reason. Bounds that follow from the",
      "platform's limits, such as the maximum of the key places, are checked only by serve."
    })
public final class CheckCommand implements Callable<Integer> {
  private static final int EXIT_USABLE = 0;
  private static final int EXIT_UNUSABLE = 2;

  @Parameters(paramLabel = "FILE", description = "The operator's file.")
  private Path file;

  /** Runs the command and returns its exit code: 0 for a valid file, otherwise 2. */
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
