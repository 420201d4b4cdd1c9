package cacheproxy.load;

/**
 * Is told of each try as its client has it, from the generator's threads: for who keeps account of
 * both sides. Each try has an id of its own.
 */
public interface Witness {
  /** Hears nothing. */
  Witness NONE =
      new Witness() {
        @Override
        public void sent(String id, int target, Kind kind, String idempotency, double waitsMs) {}

        @Override
        public void ended(String id, ClientTimeouts.End end, boolean gaveUp) {}

        @Override
        public void crossed(String id) {}
      };

  /**
   * A try is about to be written.
   *
   * @param target the number of its target
   * @param idempotency null: it has none
   * @param waitsMs its client gives up after this
   */
  void sent(String id, int target, Kind kind, String idempotency, double waitsMs);

  /** It has ended; {@code gaveUp}: as the client closed the connection, not the target. */
  void ended(String id, ClientTimeouts.End end, boolean gaveUp);

  /**
   * It was on its way as the target ended a used connection between two requests: nobody has taken
   * it.
   */
  void crossed(String id);
}
