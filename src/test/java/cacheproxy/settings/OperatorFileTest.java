package cacheproxy.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorFileTest {
  @TempDir Path folder;

  private OperatorFile read(String text) throws Exception {
    Path file = folder.resolve("c.toml");
    Files.writeString(file, text);
    return OperatorFile.read(file);
  }

  @Test
  void whatIsSetIsSetAndTheRestIsLeftToTheProgram() throws Exception {
    Table limits = read("[limits]\nplaces = 100\nhold_off = false\n").limits();
    assertThat(limits.number("places", 5)).isEqualTo(100);
    assertThat(limits.number("silent_ms", 5)).isEqualTo(5);
    assertThat(limits.number("silent_ms")).isEmpty();
    assertThat(limits.flag("hold_off", true)).isFalse();
    assertThat(limits.flag("show_out_idle", true)).isTrue();
  }

  @Test
  void checkTellsWhatIsSetOrOneLineThatSaysWhyNot() throws Exception {
    assertThat(CheckCommand.run("deploy/clayhoist.toml")).isZero();
    Path file =
        Files.writeString(
            folder.resolve("c.toml"),
            "[limits]\nplaces = 100\nhold_off = false\n[budget]\nwait_ms = 9\n");
    assertThat(OperatorFile.read(file).tables())
        .flatExtracting(Table::lines)
        .containsExactly(
            "[budget] wait_ms = 9", "[limits] hold_off = false", "[limits] places = 100");
    assertThat(CheckCommand.run(file.toString())).isZero();
    Files.writeString(file, "[limits]\nplaces = 1\n");
    assertThat(CheckCommand.run(file.toString())).isEqualTo(2);
    assertThat(CheckCommand.run("no such file")).isEqualTo(2);
    assertThat(CheckCommand.run()).isEqualTo(2);
  }

  /** The file that is shipped sets nothing. */
  @Test
  void theShippedFileIsGoodAndLeavesAllToTheProgram() throws Exception {
    OperatorFile shipped = OperatorFile.read(Path.of("deploy/clayhoist.toml"));
    for (String name : Table.KEYS.keySet()) {
      Table table =
          name.equals(Table.LIMITS)
              ? shipped.limits()
              : name.equals(Table.BUDGET)
                  ? shipped.budget()
                  : name.equals(Table.SHARED) ? shipped.shared() : shipped.membership();
      for (Key key : Table.KEYS.get(name)) {
        assertThat(table.number(key.name())).as(key.name()).isEmpty();
        assertThat(table.flag(key.name(), true) && !table.flag(key.name(), false))
            .as(key.name())
            .isTrue();
      }
    }
  }

  /** Each key is documented with its least and greatest value. */
  @Test
  void eachKeyStandsInThePageOfSettings() throws Exception {
    String page = Files.readString(Path.of("docs/settings.md"));
    for (Key key : Table.KEYS.values().stream().flatMap(List::stream).toList()) {
      String row =
          page.lines().filter(l -> l.startsWith("| `" + key.name() + "` |")).findFirst().orElse("");
      assertThat(row)
          .as(key.name())
          .contains(key.flag() ? "true or false" : key.least() + " | " + key.most());
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "[limits]\\nplaces = 3                  | [limits] places = 3: must be a whole number from 16 to 1000000",
        "[limits]\\nplaces = -100               | [limits] places = -100: must be",
        "[limits]\\nplaces = 99999999999999     | [limits] places = 99999999999999: must be",
        "[limits]\\nplaces = 100.5              | [limits] places = 100.5: must be",
        "[limits]\\nplaces = 'many'             | [limits] places = many: must be",
        "[limits]\\nplaces = [1, 2]             | [limits] places = [1, 2]: must be",
        "[limits]\\nplaces = true               | [limits] places = true: must be",
        "[limits]\\nhold_off = 1                | [limits] hold_off = 1: must be true or false",
        "[limits]\\nplace = 100                 | unknown key 'place'; did you mean 'places'?",
        "[limits]\\nclient_reed_grace_ms = 100  | did you mean 'client_read_grace_ms'?",
        "[limit]\\nplaces = 100                 | unknown table or key 'limit'; did you mean 'limits'?",
        "[budge]\\nwait_ms = 5                   | unknown table or key 'budge'; did you mean 'budget'?",
        "[budget]\\nwait_ms = 0                  | [budget] wait_ms = 0: must be a whole number from 1 to 10000",
        "[budget]\\nplaces = 100                 | [budget] unknown key 'places'; did you mean",
        "limits = 5                             | 'limits' must be a table",
        "[limits                                | not TOML",
        "[limits]\\nplaces = 100\\nplaces = 101 | not TOML",
      })
  void whatCantBeUsedIsOneLineThatNamesTheFile(String text, String expected) {
    assertThatThrownBy(() -> read(text.replace("\\n", "\n")))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("c.toml: ")
        .hasMessageContaining(expected)
        .hasMessageNotContaining("\n");
  }

  @Test
  void aFileThatIsNoneOrNoTextIsSaidSo() throws Exception {
    assertThatThrownBy(() -> OperatorFile.read(folder)).isInstanceOf(SettingsException.class);
    assertThatThrownBy(() -> OperatorFile.read(folder.resolve("none")))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("can't be read");
    Path file = folder.resolve("binary");
    Files.write(file, "[limits]\n# \u00e9".getBytes(StandardCharsets.ISO_8859_1));
    assertThatThrownBy(() -> OperatorFile.read(file))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("not UTF-8");
    Files.write(file, new byte[2 << 20]);
    assertThatThrownBy(() -> OperatorFile.read(file))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("longer than");
  }
}
