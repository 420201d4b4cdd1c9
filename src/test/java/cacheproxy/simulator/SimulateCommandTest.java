package cacheproxy.simulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The command as a process, by its name and by that of earlier deploy files. */
class SimulateCommandTest {
  private static final String EMPTY_BATCH = "1400000000000000206ec0400000000001000000";
  private static final String EMPTY_REPLY = "0c0000000000000001000000";
  private static final int TIMEOUT_SECONDS = 60;

  @TempDir Path folder;

  /** How a process ended, with the whole of its output. */
  private record Ended(int exitCode, byte[] output, String errors) {}

  private Ended run(byte[] input, String... arguments) throws Exception {
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "cacheproxy.Main");
    builder.command().addAll(List.of(arguments));
    Path output = folder.resolve("output");
    Path errors = folder.resolve("errors");
    Process process =
        builder.redirectOutput(output.toFile()).redirectError(errors.toFile()).start();
    try {
      try (OutputStream stdin = process.getOutputStream()) {
        stdin.write(input);
      } catch (IOException e) {
        // a process that rejects its arguments does not read; its exit code tells
      }
      assertThat(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    } finally {
      process.destroyForcibly();
    }
    return new Ended(
        process.exitValue(),
        Files.readAllBytes(output),
        Files.readString(errors, StandardCharsets.UTF_8));
  }

  @ParameterizedTest
  @ValueSource(strings = {"simulate", "drill"})
  void exitsWith0WhereTheInputIsEmpty(String command) throws Exception {
    Ended ended = run(new byte[0], command);
    assertThat(ended.exitCode()).as(ended.errors()).isZero();
    assertThat(ended.output()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"simulate", "drill"})
  void answersOnStandardOutput(String command) throws Exception {
    Ended ended = run(HexFormat.of().parseHex(EMPTY_BATCH), command);
    assertThat(ended.exitCode()).as(ended.errors()).isZero();
    assertThat(HexFormat.of().formatHex(ended.output())).isEqualTo(EMPTY_REPLY);
  }

  @Test
  void exitsWith1AndOneLineAfterMalformedInput() throws Exception {
    Ended ended = run(new byte[] {5, 0, 0, 0}, "simulate");
    assertThat(ended.exitCode()).isEqualTo(1);
    assertThat(ended.output()).isEmpty();
    assertThat(ended.errors().lines())
        .containsExactly("after batch 0: frame of 5 bytes, under its header");
  }

  @ParameterizedTest
  @ValueSource(strings = {"simulate", "drill"})
  void takesNoArguments(String command) throws Exception {
    Ended ended = run(new byte[0], command, "more");
    assertThat(ended.exitCode()).isEqualTo(2);
    assertThat(ended.errors()).contains("| simulate |").doesNotContain("drill");
  }

  @Test
  void theDeployFileNamesTheCommand() throws IOException {
    assertThat(Files.readAllLines(Path.of("deploy/balancer.toml")))
        .anyMatch(
            line -> line.matches("sim = \"exec java .*-jar target/cacheproxy\\.jar simulate\""));
  }
}
