package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against endpoints that get no load because they seem to have a backlog. */
@DisplayName("The backlog of an endpoint")
class QueuedLoadsTests {
  private final OrderScheduler scheduler = new OrderScheduler();
  private final TestOrderContext context = new TestOrderContext();

  @Test
  @DisplayName("does not contain loads that wait for the weight store")
  void waitingForStore() {
    scheduler.requestLoad("c", "", 10_000, 0);
    scheduler.requestLoad("d", "", 10_000, 0);
    context.heldBack.add("c");

    assertEquals(Map.of("d", 1_000), scheduler.queuedLoads(context));
  }
}
