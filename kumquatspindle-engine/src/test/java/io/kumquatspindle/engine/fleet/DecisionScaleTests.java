package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.fleet.EngineInfo;
import java.lang.management.ManagementFactory;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against decisions that go through all endpoints again for each endpoint. The bounds divide
 * the processor time that a VM may spend on control, 3.9 % of a core, at the size expected in two
 * years: 350 VMs, 610 endpoints, 920 models.
 */
@DisplayName("A decision at the size expected in two years")
class DecisionScaleTests {
  private static final int VMS = 350;
  private static final int ENDPOINTS = 610;
  private static final int MODELS = 920;
  private static final int RUNNING_BY_VM = 15;
  private static final double CONTROL_MS_PER_S = 39;

  /** Wants told by one VM: 5,500 requests a second, of which a fifth waits for a load. */
  private static final double WANTS_PER_S = 5_500.0 / VMS / 5;

  /** Looks at what waits: 50 a second. */
  private static final double LOOKS_PER_S = 50;

  /** Looks at models without a copy: one each 300 ms. */
  private static final double PREFETCHES_PER_S = 1 / 0.3;

  private final EndpointTable endpoints = new EndpointTable();
  private final ModelDemand demand = new ModelDemand();
  private final LoadBoard loads = new LoadBoard();
  private final RunningBoard running = new RunningBoard();
  private final LoadQueues queues = new LoadQueues();
  private final CopyPolicy copies = new CopyPolicy(endpoints, demand, loads);
  private final PlacementChooser chooser =
      new PlacementChooser(endpoints, copies, loads, queues, running);
  private final EngineInfo engine =
      Entries.info(
          IntStream.range(0, MODELS).mapToObj(DecisionScaleTests::model).toArray(String[]::new));
  private long now = 1_000;

  private static String model(int i) {
    return "m" + Math.floorMod(i, MODELS);
  }

  @BeforeEach
  void fleet() {
    for (int i = 0; i < ENDPOINTS; i++) {
      Set<String> disk = Set.of(model(3 * i), model(3 * i + 1), model(3 * i + 2));
      endpoints.put(
          Entries.engine("i-" + i, "d" + i % 9, 0, disk, model(i), model(i * i + MODELS / 2)));
    }
    for (int vm = 0; vm < VMS; vm++) {
      Map<String, Integer> runs = new HashMap<>();
      for (int i = 0; i < RUNNING_BY_VM; i++) {
        int e = (vm * 31 + i * 7) % ENDPOINTS;
        runs.put("i-" + e + "|" + model(e) + "/", 1);
        demand.add(model(e), 1, now);
      }
      running.told("vm" + vm, runs, Long.MAX_VALUE);
      queues.told("vm" + vm, Map.of("i-" + vm + "|" + model(vm + 1), 1_000), Long.MAX_VALUE);
    }
  }

  /** Asserts on this thread's processor time, which other processes don't stretch. */
  private void assertWithin(double boundMs, int times, Runnable decision) {
    for (int i = 0; i < times; i++) {
      decision.run();
    }
    long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    for (int i = 0; i < times; i++) {
      decision.run();
    }
    long after = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    double ms = (after - before) / 1e6 / times;
    assertTrue(ms <= boundMs, ms + " ms, bound " + boundMs + " ms");
  }

  @Test
  @DisplayName("where a model is to be loaded takes no more than the time for it")
  void choose() {
    assertWithin(
        CONTROL_MS_PER_S / WANTS_PER_S,
        20,
        () ->
            chooser.choose(Entries.SERVICE, engine, model((int) (++now)), "", "d1", Set.of(), now));
  }

  @Test
  @DisplayName("when a model will be ready takes no more than the time for it")
  void ready() {
    assertWithin(
        CONTROL_MS_PER_S / LOOKS_PER_S,
        100,
        () ->
            chooser.readyInMs(Entries.SERVICE, engine.models().get(model((int) (++now))), 4, now));
  }

  @Test
  @DisplayName("what to fetch before there are callers takes no more than the time for it")
  void prefetch() {
    // As when the system starts for the first time: no disk has a copy yet.
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.put(Entries.engine("i-" + i, "d" + i % 9, 0, Set.of(), model(i)));
    }
    Prefetch prefetch = new Prefetch(endpoints, new ModelDemand(), loads);
    assertWithin(
        CONTROL_MS_PER_S / PREFETCHES_PER_S,
        5,
        () -> {
          now++;
          for (int i = 0; i < 2; i++) {
            prefetch.next(endpoints.find("i-" + i).orElseThrow(), engine, Set.of(), now);
          }
        });
  }
}
