package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The table [shared] over what the platform tells. */
class SharedSettingsTest {
  @TempDir Path folder;

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
  void itIsOffUnlessSwitchedOnAndNeedsMembershipAndPeers() throws Exception {
    assertThat(read(8, "[membership]\non = true\n").tier()).isNull();
    assertThat(read(8, "[membership]\non = true\n[shared]\non = false\n").tier()).isNull();
    assertThat(read(1, "[membership]\non = true\n[shared]\non = true\n").tier())
        .as("nobody to share with")
        .isNull();
    assertThatThrownBy(() -> read(8, "[shared]\non = true\n"))
        .hasMessageContaining("c.toml")
        .hasMessageContaining("on")
        .hasMessageContaining("true only where [membership] is on too");
    assertThatThrownBy(() -> read(8, "[shared]\nbytes_per_s = 5\n"))
        .hasMessageContaining("bytes_per_s")
        .hasMessageContaining("from 300 to 1000000");
  }

  @Test
  void whatIsSetGoesOverWhatIsUsual() throws Exception {
    Config usual = read(8, "[membership]\non = true\n[shared]\non = true\n");
    assertThat(usual.tier())
        .satisfies(
            t -> {
              assertThat(t.tier()).isEqualTo(8);
              assertThat(t.judgements() && t.coldRights()).isTrue();
              assertThat(t.bytesPerS()).isEqualTo(2000);
              assertThat(t.tipMultiple()).isEqualTo(usual.settings().overloadMultiple());
            });
    assertThat(
            read(
                    8,
                    "[membership]\non = true\n[shared]\non = true\njudgements = false\ncold_rights = false\nbytes_per_s = 500\n")
                .tier())
        .satisfies(
            t -> {
              assertThat(t.judgements() || t.coldRights()).isFalse();
              assertThat(t.bytesPerS()).isEqualTo(500);
            });
  }
}
