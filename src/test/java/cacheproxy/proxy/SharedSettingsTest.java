package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.shared.SharedStateSettings;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The table {@code [shared]} of the operator's file, applied to the platform's configuration. */
class SharedSettingsTest {
  @TempDir Path folder;

  private Optional<SharedStateSettings> sharedState(int peers, String text) throws Exception {
    return read(peers, text).options().sharedState();
  }

  private Config read(int peers, String text) throws Exception {
    JsonObject json =
        JsonParser.parseString(Files.readString(Path.of("docs/example-config.json")))
            .getAsJsonObject();
    JsonArray all = new JsonArray();
    for (int p = 0; p < peers; p++) {
      all.add("127.0.0.1:" + (20_000 + p));
    }
    json.add("peers", all);
    json.addProperty("peer_listen", "127.0.0.1:20000");
    Path file = Files.writeString(folder.resolve("c.toml"), text);
    return OperatorSettings.read(file.toString(), Config.parse(json));
  }

  @Test
  void isOffUnlessItIsSwitchedOnAndThereAreOtherProxies() throws Exception {
    assertThat(sharedState(8, "[membership]\non = true\n")).isEmpty();
    assertThat(sharedState(8, "[membership]\non = true\n[shared]\non = false\n")).isEmpty();
    assertThat(sharedState(1, "[membership]\non = true\n[shared]\non = true\n"))
        .as("nobody to share with")
        .isEmpty();
  }

  @Test
  void rejectsSharedStateWithoutMembership() {
    assertThatThrownBy(() -> read(8, "[shared]\non = true\n"))
        .isInstanceOf(InvalidConfigException.class)
        .hasMessageContaining("c.toml")
        .hasMessageContaining("on")
        .hasMessageContaining("true only where [membership] is on too");
  }

  @Test
  void rejectsTooLowAByteRate() {
    assertThatThrownBy(() -> read(8, "[shared]\nbytes_per_s = 5\n"))
        .isInstanceOf(InvalidConfigException.class)
        .hasMessageContaining("bytes_per_s")
        .hasMessageContaining("from 300 to 1000000");
  }

  @Test
  void usesDefaultsForWhatTheFileLeavesOut() throws Exception {
    Config config = read(8, "[membership]\non = true\n[shared]\non = true\n");
    assertThat(config.options().sharedState())
        .hasValueSatisfying(
            terms -> {
              assertThat(terms.proxies()).isEqualTo(8);
              assertThat(terms.healthVerdicts() && terms.slowStartQuota()).isTrue();
              assertThat(terms.bytesPerSecond()).isEqualTo(2000);
              assertThat(terms.overloadFactor()).isEqualTo(config.settings().overloadMultiple());
            });
  }

  @Test
  void usesWhatTheFileSets() throws Exception {
    assertThat(
            sharedState(
                8,
                "[membership]\non = true\n[shared]\non = true\n"
                    + "judgements = false\ncold_rights = false\nbytes_per_s = 500\n"))
        .hasValueSatisfying(
            terms -> {
              assertThat(terms.healthVerdicts() || terms.slowStartQuota()).isFalse();
              assertThat(terms.bytesPerSecond()).isEqualTo(500);
            });
  }
}
