package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ByteAccountsTest {
  /**
   * Random charges against a model: the sums are those of the accounts, and no charge passes a
   * bound but a short one.
   */
  @Test
  void sumsAreThoseOfTheAccountsAndNoLongChargePassesTheBound() {
    for (long seed = 1; seed <= 300; seed++) {
      Random random = new Random(seed);
      ByteAccounts all =
          new ByteAccounts(Map.of(BufferPurpose.VALUE, 5000L, BufferPurpose.ANSWER, 9000L));
      List<ByteAccount> accounts = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        if (accounts.isEmpty() || random.nextInt(10) == 0) {
          accounts.add(all.open());
        }
        ByteAccount a = accounts.get(random.nextInt(accounts.size()));
        BufferPurpose kind = BufferPurpose.values()[random.nextInt(BufferPurpose.values().length)];
        int bytes = random.nextInt(1500);
        if (random.nextBoolean()) {
          long before = all.held(kind);
          boolean fits = bytes <= ByteAccount.SHORT_BYTES || before + bytes <= all.bound(kind);
          assertThat(a.charge(kind, bytes)).as("seed %d", seed).isEqualTo(fits);
          assertThat(all.held(kind)).isEqualTo(fits ? before + bytes : before);
        } else if (a.held(kind) > 0) {
          a.release(kind, random.nextInt((int) a.held(kind)) + 1);
        }
        for (BufferPurpose h : BufferPurpose.values()) {
          assertThat(all.held(h))
              .as("seed %d", seed)
              .isEqualTo(accounts.stream().mapToLong(x -> x.held(h)).sum());
        }
      }
    }
  }

  @Test
  void moreThanIsHeldCantBeGivenBack() {
    ByteAccounts all = new ByteAccounts(Map.of());
    ByteAccount a = all.open();
    all.open().charge(BufferPurpose.VALUE, 100);
    a.charge(BufferPurpose.VALUE, 10);
    assertThatThrownBy(() -> a.release(BufferPurpose.VALUE, 11))
        .isInstanceOf(IllegalStateException.class);
  }

  /** A client that has left: what its request still needs stays charged, and nothing new is. */
  @Test
  void aClosedAccountTakesNothingAndKeepsWhatIsNotGivenBack() {
    ByteAccounts all = new ByteAccounts(Map.of(BufferPurpose.VALUE, 100L));
    ByteAccount a = all.open();
    a.charge(BufferPurpose.VALUE, 60);
    a.close();
    assertThat(a.charge(BufferPurpose.VALUE, 1)).isFalse();
    assertThat(all.held(BufferPurpose.VALUE)).isEqualTo(60);
    assertThat(all.share()).isEqualTo(0.6);
    a.release(BufferPurpose.VALUE, 60);
    assertThat(all.held(BufferPurpose.VALUE)).isZero();
    assertThat(all.most(BufferPurpose.VALUE)).isEqualTo(60);
  }

  private record Holder(ByteAccount account, double behind) implements FairShare.Holder {
    @Override
    public double behindMs(double nowMs) {
      return behind;
    }
  }

  private static Holder holder(ByteAccounts all, int bytes, double behind, int served) {
    ByteAccount a = all.open();
    a.charge(BufferPurpose.ANSWER, bytes);
    for (int i = 0; i < served; i++) {
      a.answered();
    }
    return new Holder(a, behind);
  }

  @Test
  void roomIsTakenFromThoseWithTheMostForTheLeastServedAndNeverFromWhoKeepsUp() {
    ByteAccounts all = new ByteAccounts(Map.of());
    Holder keepsUp = holder(all, 1_000_000, 20, 0);
    Holder much = holder(all, 60_000, 1500, 0);
    Holder served = holder(all, 60_000, 1500, 9);
    Holder little = holder(all, 600, 1500, 0);
    List<Holder> holders = new ArrayList<>(List.of(keepsUp, little, served, much));
    for (Holder next : List.of(much, served, little)) {
      assertThat(FairShare.next(0, holders)).isSameAs(next);
      holders.remove(next);
    }
    assertThat(FairShare.next(0, holders)).isNull();
  }
}
