package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays requests to one endpoint with a limit over many VMs. Time is simulated; a VM that does
 * not reach the holder uses its own part of the limit.
 */
@DisplayName("The limit of an endpoint, shared by many VMs,")
class EndpointLimitFleetTests {
  private static final long END_MS = 120_000;
  private static final long WINDOW_MS = 4_000;
  private static final long MAX_WAIT_MS = 300;

  private final Random random = new Random(33);
  private final List<Long> sentMs = new ArrayList<>();
  private final Endpoint endpoint = new Endpoint(TestEndpoints.endpoint("e", "west"), model -> {});

  /** Sends requests at random times to random VMs; the first VM holds the endpoint. */
  private void run(int vms, double limitPerS, double requestsPerS, LongPredicate holderReached) {
    endpoint.recordLimit(OptionalDouble.of(limitPerS), 0);
    List<EndpointLimits> limits =
        IntStream.range(0, vms).mapToObj(i -> new EndpointLimits(random::nextDouble)).toList();
    for (long now = 0; now < END_MS; now++) {
      if (random.nextDouble() < requestsPerS / 1_000) {
        int vm = random.nextInt(vms);
        Permit permit;
        if (holderReached.test(now)) {
          permit = limits.get(0).reserve(endpoint, 1, MAX_WAIT_MS, now);
          limits.get(vm).holderAnswered(endpoint);
        } else {
          permit = limits.get(vm).reserveOwnPart(endpoint, true, vms, MAX_WAIT_MS, now);
        }
        if (permit.granted()) {
          sentMs.add(now + permit.delayMs());
        }
      }
    }
  }

  private void assertLimitKept(double limitPerS) {
    double allowed = 1.5 * limitPerS * WINDOW_MS / 1_000 + 5;
    for (long from : sentMs) {
      long count = sentMs.stream().filter(t -> t >= from && t < from + WINDOW_MS).count();
      assertTrue(count <= allowed, count + " requests from " + from + " ms");
    }
  }

  @ParameterizedTest
  @CsvSource({"1, 2", "8, 2", "95, 0.5", "95, 20", "350, 5"})
  @DisplayName("is kept and used while the holder is in reach")
  void holderInReach(int vms, double limitPerS) {
    run(vms, limitPerS, 20 * limitPerS, now -> true);

    assertLimitKept(limitPerS);
    assertTrue(sentMs.size() >= 0.95 * limitPerS * END_MS / 1_000, sentMs.size() + " sent");
  }

  @ParameterizedTest
  @CsvSource({"8, 2", "95, 0.5", "95, 20", "350, 5"})
  @DisplayName("is kept while nobody reaches the holder")
  void holderOutOfReach(int vms, double limitPerS) {
    run(vms, limitPerS, 20 * limitPerS, now -> false);

    assertLimitKept(limitPerS);
  }

  @ParameterizedTest
  @CsvSource({"8, 2", "95, 0.5", "95, 20"})
  @DisplayName("is kept while the holder is in reach by turns")
  void holderComesAndGoes(int vms, double limitPerS) {
    run(vms, limitPerS, 20 * limitPerS, now -> now / 3_000 % 2 == 0);

    assertLimitKept(limitPerS);
  }

  @Test
  @DisplayName("is divided between two sides of a cut that both reach the endpoint")
  void twoSides() {
    endpoint.recordLimit(OptionalDouble.of(4), 0);
    List<EndpointLimits> sides =
        List.of(new EndpointLimits(random::nextDouble), new EndpointLimits(random::nextDouble));
    for (long now = 0; now < END_MS; now += 10) {
      for (int side = 0; side < 2; side++) {
        if (sides.get(side).reserve(endpoint, side == 0 ? 0.25 : 0.75, 0, now).granted()) {
          sentMs.add(now);
        }
      }
    }

    assertLimitKept(4);
    assertEquals(4.0 * END_MS / 1_000, sentMs.size(), 0.05 * 4 * END_MS / 1_000);
  }

  @ParameterizedTest
  @CsvSource({"8, 20", "95, 20", "95, 10"})
  @DisplayName(
      "is kept while one VM uses all that the holder gives out, and no other hears the holder")
  void holderAnswersOne(int vms, double limitPerS) {
    endpoint.recordLimit(OptionalDouble.of(limitPerS), 0);
    EndpointLimits holder = new EndpointLimits(random::nextDouble);
    List<EndpointLimits> unheard =
        IntStream.range(1, vms).mapToObj(i -> new EndpointLimits(random::nextDouble)).toList();
    for (long now = 0; now < END_MS; now += 5) {
      long at = now;
      if (holder.reserve(endpoint, 1, 0, at).granted()) {
        sentMs.add(at);
      }
      unheard.stream()
          .filter(l -> l.reserveOwnPart(endpoint, true, vms, 5, at).granted())
          .forEach(l -> sentMs.add(at));
    }

    assertLimitKept(limitPerS);
  }

  @Test
  @DisplayName("of none lets one request in ten seconds pass")
  void limitOfNone() {
    run(8, 0, 20, now -> true);

    assertEquals(END_MS / 10_000.0, sentMs.size(), 1);
  }
}
