package io.kumquatspindle.node.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.fleet.CallerLimits;
import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import io.kumquatspindle.api.fleet.LoadedModel;
import io.kumquatspindle.api.fleet.ModelInfo;
import io.kumquatspindle.api.fleet.ServiceInfo;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.TestNodes;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Room of requests that wait for a model")
class WaitRoomTests {
  private final AtomicLong now = new AtomicLong(1_000);
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final NodeContext node = TestNodes.of(now, output, "west");
  private WaitRoom room;

  @Test
  @DisplayName("releases a request once when its release makes the room look again")
  void releasedOnce() {
    configure();
    room = new WaitRoom(node, new NoSource());
    CountingWaiter first = new CountingWaiter("m1");
    CountingWaiter second = new CountingWaiter("m2");
    room.enter(first);
    room.enter(second);
    node.endpoints().put(endpoint("m1", "m2"));

    room.tick();

    assertEquals(1, first.proceeded);
    assertEquals(1, second.proceeded);
    assertEquals(0, room.waiting());
  }

  @Test
  @DisplayName("refuses at once a model that the configuration does not name")
  void unknownModel() {
    configure();
    room = new WaitRoom(node, new NoSource());
    CountingWaiter waiter = new CountingWaiter("other");
    room.enter(waiter);

    assertEquals(1, waiter.refused);
    assertEquals(0, room.waiting());
  }

  @Test
  @DisplayName("refuses at once, with the time to come back, what will not be ready in time")
  void tooLate() {
    configure();
    NoSource source = new NoSource();
    source.readyInMs = 6_000;
    room = new WaitRoom(node, source);
    CountingWaiter waiter = new CountingWaiter("m1");
    waiter.deadlineMs = 3_000;
    room.enter(waiter);

    assertEquals(1, waiter.refused);
    assertTrue(waiter.retryAfterMs >= 6_000, "comes back after " + waiter.retryAfterMs);
    assertEquals(0, room.waiting());
  }

  @Test
  @DisplayName("refuses those who wait as soon as no load can end before they leave")
  void hopelessMeanwhile() {
    configure();
    NoSource source = new NoSource();
    source.readyInMs = 1_000;
    room = new WaitRoom(node, source);
    CountingWaiter waiter = new CountingWaiter("m1");
    waiter.deadlineMs = 3_300;
    room.enter(waiter);
    now.set(2_200);
    room.tick();
    assertEquals(0, waiter.refused);

    now.set(2_400);
    room.tick();

    assertEquals(1, waiter.refused);
    assertEquals(0, room.waiting());
  }

  @Test
  @DisplayName("refuses newcomers at once when a want has been in vain for longer than they wait")
  void wantedInVain() {
    configure();
    NoSource source = new NoSource();
    source.readyInMs = 1_000;
    room = new WaitRoom(node, source);
    assertEquals(0, enterAt(1_000).refused);
    assertEquals(0, enterAt(2_000).refused);
    assertEquals(1, enterAt(2_400).refused);

    source.loading = true;
    assertEquals(0, enterAt(2_500).refused);
  }

  @Test
  @DisplayName("lets callers wait again when nobody has wanted the model for a time")
  void wantedAnew() {
    configure();
    NoSource source = new NoSource();
    source.readyInMs = 1_000;
    room = new WaitRoom(node, source);
    enterAt(1_000);
    assertEquals(1, enterAt(2_400).refused);

    assertEquals(0, enterAt(5_500).refused);
  }

  @Test
  @DisplayName("wants a model by the earliest goal that is not past")
  void goal() {
    configure();
    NoSource source = new NoSource();
    room = new WaitRoom(node, source);
    for (long goal : new long[] {1_900, 2_500, 4_000}) {
      CountingWaiter waiter = new CountingWaiter("m1");
      waiter.goalMs = goal;
      room.enter(waiter);
    }
    now.set(2_000);
    room.tick();

    assertEquals(2_500, source.wantedGoalMs);
  }

  @Test
  @DisplayName("leaves a line with the request's id and what is expected when it begins to wait")
  void line() {
    configure();
    NoSource source = new NoSource();
    source.readyInMs = 1_000;
    room = new WaitRoom(node, source);
    CountingWaiter waiter = new CountingWaiter("m1");
    waiter.goalMs = 3_500;
    room.enter(waiter);
    node.log().close();

    String line = output.toString(StandardCharsets.UTF_8);
    assertTrue(line.contains("\"event\":\"waits\",\"id\":\"r-m1\",\"model\":\"m1\""), line);
    assertTrue(line.contains("\"ready_in_ms\":1000") && line.contains("\"goal_in_ms\":2500"), line);
  }

  private CountingWaiter enterAt(long atMs) {
    now.set(atMs);
    CountingWaiter waiter = new CountingWaiter("m1");
    waiter.deadlineMs = atMs + 2_300;
    room.enter(waiter);
    return waiter;
  }

  private void configure() {
    ModelInfo info = new ModelInfo("m1", 1, 6_000, 1_000, 500, 1, 0);
    EngineInfo engine = new EngineInfo(8, 1_000, 10, 2, 1, Map.of("m1", info, "m2", info));
    node.configuration(
        new FleetConfiguration(
            1,
            List.of(),
            List.of(new ServiceInfo("s", Optional.of(engine))),
            List.of(),
            CallerLimits.DEFAULTS));
  }

  private static EndpointEntry endpoint(String... models) {
    return new EndpointEntry(
        "e",
        "s",
        "10.0.0.1",
        80,
        "west",
        8,
        false,
        OptionalLong.empty(),
        0,
        List.of(models).stream().map(m -> new LoadedModel(m, Set.of())).toList(),
        Set.of(),
        Set.of());
  }

  private static final class NoSource implements ModelSource {
    private long readyInMs;
    private boolean loading;
    private long wantedGoalMs;

    @Override
    public boolean loading(String service, String model) {
      return loading;
    }

    @Override
    public long readyInMs(String service, String model) {
      return readyInMs;
    }

    @Override
    public void want(
        String service, String model, String adapter, long goalMs, Map<String, Integer> asked) {
      wantedGoalMs = goalMs;
    }

    @Override
    public void used(Endpoint endpoint, String model, String adapter) {}
  }

  private final class CountingWaiter implements Waiter {
    private final String model;
    private int proceeded;
    private int refused;
    private long goalMs;
    private long deadlineMs = Long.MAX_VALUE;
    private long retryAfterMs;

    private CountingWaiter(String model) {
      this.model = model;
    }

    @Override
    public String requestId() {
      return "r-" + model;
    }

    @Override
    public String service() {
      return "s";
    }

    @Override
    public String model() {
      return model;
    }

    @Override
    public String adapter() {
      return "";
    }

    @Override
    public long goalMs() {
      return goalMs;
    }

    @Override
    public long deadlineMs() {
      return deadlineMs;
    }

    @Override
    public void proceed() {
      proceeded++;
      room.tick();
    }

    @Override
    public void refuse(long retryAfterMs) {
      refused++;
      this.retryAfterMs = retryAfterMs;
    }
  }
}
