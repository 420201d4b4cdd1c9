package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.Member;
import cacheproxy.routing.RoutingApi.Request;
import cacheproxy.routing.RoutingApi.Settings;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Validates settings, requests and endpoint lists before the policy uses them. Each method throws
 * an {@link IllegalArgumentException} that names the first invalid value.
 */
final class InputValidator {
  private InputValidator() {}

  static void check(Settings settings) {
    if (settings.classes().isEmpty()) {
      throw new IllegalArgumentException("the settings contain no service class");
    }
    if (settings.maxAttempts() < 1) {
      throw new IllegalArgumentException(
          "max attempts must be at least 1 but is " + settings.maxAttempts());
    }
  }

  static void check(Request request, Settings settings) {
    int serviceClass = request.serviceClass();
    if (serviceClass < 0 || serviceClass >= settings.classes().size()) {
      throw new IllegalArgumentException("class " + serviceClass + " is not in the settings");
    }
    int tenant = request.tenant();
    if (tenant < 0 || tenant > 0 && tenant >= settings.tenants().size()) {
      throw new IllegalArgumentException("tenant " + tenant + " is not in the settings");
    }
  }

  static void check(List<Member> members, Settings settings) {
    Set<Integer> seen = new HashSet<>();
    for (Member member : members) {
      String id = Integer.toUnsignedString(member.id());
      if (!seen.add(member.id())) {
        throw new IllegalArgumentException("member " + id + " is listed twice");
      }
      if (!(member.weight() >= 0) || Float.isInfinite(member.weight())) {
        throw new IllegalArgumentException(
            "member " + id + " has invalid weight " + member.weight());
      }
      boolean zoneKnown = member.zone() >= 0 && member.zone() < settings.zones();
      boolean kindKnown = member.kind() >= 0 && member.kind() < settings.kinds();
      if (!zoneKnown || !kindKnown) {
        throw new IllegalArgumentException(
            "member "
                + id
                + " has an unknown zone or kind: zone "
                + member.zone()
                + ", kind "
                + member.kind());
      }
    }
  }
}
