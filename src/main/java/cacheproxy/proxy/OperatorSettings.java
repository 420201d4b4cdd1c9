package cacheproxy.proxy;

import cacheproxy.limits.Limits;
import cacheproxy.limits.MinimumRate;
import cacheproxy.membership.Timing;
import cacheproxy.settings.OperatorFile;
import cacheproxy.settings.SettingsException;
import cacheproxy.settings.Table;
import cacheproxy.shared.SharedState;
import java.nio.file.Path;

/** The operator's settings over those that follow from the platform's. */
final class OperatorSettings {
  private OperatorSettings() {}

  /** An IllegalArgumentException says in one line what is wrong. */
  static Config read(String file, Config config) {
    try {
      OperatorFile of = OperatorFile.read(Path.of(file));
      boolean turnAway = of.budget().flag("turn_away", true);
      config = config.member(membership(of.membership()));
      config = config.tier(shared(of.shared(), config));
      return config
          .with(over(config.limits(), of.limits()))
          .waiting(turnAway ? (double) of.budget().number("wait_ms", (long) Config.BY_AIM) : 0);
    } catch (SettingsException e) {
      throw new IllegalArgumentException(e.getMessage());
    }
  }

  /** Null: off. */
  private static Timing membership(Table t) {
    if (!t.flag("on", false)) {
      return null;
    }
    Timing usual = Timing.USUAL;
    double period = t.number("period_ms", (long) usual.periodMs());
    double scale = period / usual.periodMs();
    return new Timing(
        period,
        usual.directMs() * scale,
        usual.probeMs() * scale,
        t.number("suspect_ms", (long) usual.suspectMs()),
        usual.lateMs(),
        t.number("bytes_per_s", (long) usual.bytesPerS()));
  }

  /** Null: off, or there is nobody to share with. */
  private static SharedState.Terms shared(Table t, Config config) throws SettingsException {
    if (!t.flag("on", false)) {
      return null;
    }
    if (config.membership() == null) {
      throw t.bad("on", "true only where [membership] is on too");
    }
    int me = config.settings().me();
    return config.peers().size() < 2 || me >= config.peers().size()
        ? null
        : new SharedState.Terms(
            config.peers().size(),
            me,
            config.settings().zone(),
            config.settings().overloadMultiple(),
            config.settings().overloadMs(),
            t.number("bytes_per_s", (long) SharedState.Terms.USUAL_BYTES_PER_S),
            t.flag("judgements", true),
            t.flag("cold_rights", true));
  }

  private static Limits over(Limits l, Table t) throws SettingsException {
    long places = t.number("places", l.places());
    if (places > l.places()) {
      throw t.bad(
          "places", "at most " + l.places() + ", which is what the platform's descriptors leave");
    }
    long room = t.number("clients_room", Math.min(l.clientsRoom(), places));
    if (room > places) {
      throw t.bad("clients_room", "at most the " + places + " places there are");
    }
    long answers = t.number("client_answers_bytes", l.answerBytes());
    long one = t.number("one_client_answers_bytes", Math.min(l.clientAnswerBytes(), answers));
    if (one > answers) {
      throw t.bad("one_client_answers_bytes", "at most client_answers_bytes, " + answers);
    }
    return new Limits(
        (int) places,
        (int) room,
        t.number("client_values_bytes", l.valueBytes()),
        t.number("node_reading_bytes", l.readingBytes()),
        answers,
        one,
        rate(t, "client_write", l.clientWrite()),
        rate(t, "client_read", l.clientRead()),
        rate(t, "node_answer", l.nodeAnswer()),
        t.number("silent_ms", (long) l.silentMs()),
        (int) t.number("send_buffer_bytes", l.sendBufferBytes()),
        t.flag("show_out_idle", l.showOutIdle()),
        t.flag("hold_off", l.holdOff()));
  }

  private static MinimumRate rate(Table t, String key, MinimumRate l) {
    return new MinimumRate(
        t.number(key + "_bytes_per_s", (long) l.bytesPerS()),
        t.number(key + "_grace_ms", (long) l.graceMs()));
  }
}
