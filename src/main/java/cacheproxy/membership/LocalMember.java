package cacheproxy.membership;

/** This proxy's own member number, state and incarnation. */
final class LocalMember {
  private final int number;
  private MemberState state = MemberState.STARTING;
  private int incarnation;

  LocalMember(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }

  MemberState state() {
    return state;
  }

  void setState(MemberState state) {
    this.state = state;
  }

  int incarnation() {
    return incarnation;
  }

  void setIncarnation(int incarnation) {
    this.incarnation = incarnation;
  }

  MemberStatus status() {
    return new MemberStatus(state, incarnation);
  }
}
