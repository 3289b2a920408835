package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.fleet.EngineReport;
import io.kumquatspindle.api.fleet.LoadedModel;
import io.kumquatspindle.api.fleet.ModelOrder;
import io.kumquatspindle.api.fleet.OrderResponse;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Order scheduler")
class OrderSchedulerTests {
  private final OrderScheduler scheduler = new OrderScheduler();
  private final TestOrderContext context = new TestOrderContext();
  private long now = 10_000;

  @Test
  @DisplayName("first reads the number of accepted orders, and evicts before it loads")
  void evictsBeforeLoading() {
    report(7, "a", "b");
    scheduler.requestLoad("c", "", now + 10_000, now);

    ModelOrder evict = send();
    assertFalse(evict.load());
    assertEquals(7, evict.expectedOrders());
    respond(OrderResponse.ACCEPTED);
    now += 100;
    ModelOrder load = send();
    assertTrue(load.load());
    assertEquals("c", load.model());
    assertEquals(8, load.expectedOrders());
  }

  @Test
  @DisplayName("waits until an eviction has ended, during which the endpoint rejects orders")
  void waitsForEviction() {
    report(0, "a", "b");
    scheduler.requestLoad("c", "", now + 10_000, now);
    assertFalse(send().load());
    respond(OrderResponse.ACCEPTED);

    assertTrue(scheduler.next(context, now + 55).isEmpty());
    assertTrue(scheduler.next(context, now + 80).isPresent());
  }

  @Test
  @DisplayName("sends no order for a model that does not fit, even while a load is in progress")
  void memory() {
    report(0, "a");
    scheduler.requestLoad("c", "", now + 10_000, now);
    scheduler.requestLoad("d", "", now + 10_000, now);
    assertEquals("c", send().model());
    respond(OrderResponse.ACCEPTED);

    assertTrue(scheduler.next(context, now + 10).isEmpty());
  }

  @Test
  @DisplayName("does not evict models that are in use")
  void inUse() {
    report(0, "a", "b");
    context.inProgress.addAll(Set.of("a", "b"));
    scheduler.requestLoad("c", "", now + 10_000, now);

    assertTrue(scheduler.next(context, now).isEmpty());
    context.inProgress.remove("b");
    assertEquals("b", send().model());
  }

  @Test
  @DisplayName("confirms a load by sending its order again, and then holds the model")
  void confirm() {
    startLoad();

    now += 1_000;
    send();
    List<HoldingChange> changes = respond(OrderResponse.HOLDS);
    assertEquals(HoldingChange.Kind.LOADED, changes.get(0).kind());
    assertTrue(scheduler.holds("c", ""));
  }

  @Test
  @DisplayName("counts the order of a load once, however often the engine accepts it again")
  void loadLongerThanEstimated() {
    startLoad();
    now += 1_000;
    send();
    assertEquals(List.of(), respond(OrderResponse.ACCEPTED));
    now += 100;
    send();
    assertEquals(
        List.of(new HoldingChange("c", "", HoldingChange.Kind.LOADING_FROM_STORE)),
        respond(OrderResponse.ACCEPTED));
    int confirmations = 0;
    for (; confirmations < 100 && now < 17_000; now += 20) {
      if (scheduler.next(context, now).isPresent()) {
        confirmations++;
        respond(OrderResponse.ACCEPTED);
      }
    }
    assertTrue(confirmations <= 20, confirmations + " orders to confirm a load");

    now += 500;
    assertEquals(1, send().expectedOrders());
    respond(OrderResponse.HOLDS);
    scheduler.requestLoad("d", "", now + 10_000, now);
    assertEquals(1, send().expectedOrders());
  }

  @Test
  @DisplayName("reads the state if a load is never confirmed, instead of repeating it forever")
  void unconfirmedLoad() {
    startLoad();
    now += 1_000;
    for (int i = 0; i < 3; i++) {
      send();
      respond(OrderResponse.CONFLICT);
      now += 100;
    }

    assertInstanceOf(
        OrderScheduler.Step.ReadState.class, scheduler.next(context, now).orElseThrow());
    scheduler.onReport(Optional.of(engineReport(false, 12, "a", "c")), now);
    assertTrue(scheduler.holds("c", ""));
    assertTrue(scheduler.loading().isEmpty());
  }

  @Test
  @DisplayName("waits between reports while the endpoint is still loading")
  void noReportLoop() {
    failConfirmationsUntilReport();
    scheduler.onReport(Optional.of(engineReport(true, 1, "a")), now);

    assertTrue(scheduler.next(context, now).isEmpty());
    assertTrue(scheduler.next(context, now + 100).isEmpty());
  }

  @Test
  @DisplayName("reads the state again after an order without a response")
  void unanswered() {
    report(3, "a");
    scheduler.requestLoad("c", "", now + 10_000, now);
    send();
    respond(OrderResponse.UNKNOWN);

    assertTrue(scheduler.next(context, now + 100).isEmpty());
    assertInstanceOf(
        OrderScheduler.Step.ReadState.class, scheduler.next(context, now + 600).orElseThrow());
  }

  @Nested
  @DisplayName("when several models are requested")
  class Queue {

    @Test
    @DisplayName("loads an urgent model first, even if others have waited longer")
    void urgentFirst() {
      report(0);
      scheduler.requestLoad("a", "", now + 10_000, now);
      scheduler.requestLoad("b", "", now + 10_000, now + 100);
      context.urgent.add("b");

      assertEquals("b", send().model());
    }

    @Test
    @DisplayName("loads models first whose goal can still be met, by earliest goal")
    void goals() {
      report(0);
      scheduler.requestLoad("a", "", now + 900, now);
      scheduler.requestLoad("b", "", now + 3_000, now + 10);
      scheduler.requestLoad("c", "", now + 2_000, now + 20);

      assertEquals("c", send().model());
    }

    @Test
    @DisplayName("loads models whose goal was missed if no other goal can be met")
    void missedGoal() {
      report(0);
      scheduler.requestLoad("a", "", now + 900, now);

      assertEquals("a", send().model());
    }

    @Test
    @DisplayName("if no goal can be met, loads a model that many callers miss before a slow one")
    void shortLoadOfModelInDemand() {
      report(0);
      context.loadMs.put("a", 6_000L);
      context.requestRates.put("b", 2.0);
      scheduler.requestLoad("a", "", now, now);
      now += 2_000;
      scheduler.requestLoad("b", "", now, now);
      now += 100;

      assertEquals("b", send().model());
    }

    @Test
    @DisplayName("loads a slow model before a quick one when it has waited for long")
    void agedSlowLoad() {
      report(0);
      context.loadMs.put("a", 6_000L);
      scheduler.requestLoad("a", "", now, now);
      now += 20_000;
      scheduler.requestLoad("b", "", now, now);

      assertEquals("a", send().model());
    }

    @Test
    @DisplayName("uses the goal of a newer request when the earlier one has passed")
    void newerGoal() {
      report(0);
      scheduler.requestLoad("a", "", now, now);
      scheduler.requestLoad("b", "", now + 2_000, now);
      now += 500;
      scheduler.requestLoad("a", "", now + 1_100, now);

      assertEquals("a", send().model());
    }

    @Test
    @DisplayName("discards a load that another endpoint has completed, to avoid a second load")
    void completedElsewhere() {
      report(0);
      scheduler.requestLoad("a", "", now + 2_000, now);
      context.unneeded.add("a");

      assertTrue(scheduler.next(context, now).isEmpty());
      assertEquals(0, scheduler.requestedLoadCount());
    }

    @Test
    @DisplayName(
        "keeps a requested load with its age when it is renewed, and discards it otherwise")
    void renewed() {
      report(0);
      scheduler.requestLoad("a", "", now, now);
      scheduler.requestLoad("a", "", now, now + 2_000);
      scheduler.expireRequests(now + 1_000);
      assertEquals(1, scheduler.requestedLoadCount());

      scheduler.expireRequests(now + 2_001);
      assertEquals(0, scheduler.requestedLoadCount());
    }

    @Test
    @DisplayName("reports the load times of queued models, excluding those already held")
    void queued() {
      report(0, "a");
      scheduler.requestLoad("a", "x", now + 2_000, now);
      scheduler.requestLoad("b", "", now + 2_000, now);
      scheduler.requestLoad("unknown", "", now + 2_000, now);

      assertEquals(Map.of("b", 1_000), scheduler.queuedLoads(context));
    }
  }

  @Nested
  @DisplayName("when all models are in use and one is surplus")
  class Draining {

    @Test
    @DisplayName("drains the surplus replica and evicts it when its last request ends")
    void surplusReplica() {
      startDraining();
      assertTrue(scheduler.next(context, now + 50).isEmpty(), "while a request is in progress");

      context.inProgress.remove("b");
      now += 100;
      ModelOrder evict = send();
      assertFalse(evict.load());
      assertEquals("b", evict.model());
      respond(OrderResponse.ACCEPTED);
      assertFalse(scheduler.draining("b"));
    }

    @Test
    @DisplayName("evicts the surplus replica after a second even if requests are still in progress")
    void longRequest() {
      startDraining();
      now += 1_000;

      assertEquals("b", send().model());
    }

    @Test
    @DisplayName("stops draining when the model that needed the memory is no longer requested")
    void noLongerNeeded() {
      startDraining();
      scheduler.expireRequests(Long.MAX_VALUE);
      now += 2_000;

      assertTrue(scheduler.next(context, now).isEmpty());
      assertFalse(scheduler.draining("b"));
    }

    private void startDraining() {
      report(0, "a", "b");
      context.inProgress.addAll(Set.of("a", "b"));
      context.surplus.add("b");
      scheduler.requestLoad("c", "", now + 2_000, now);
      OrderScheduler.Step step = scheduler.next(context, now).orElseThrow();
      assertEquals("b", assertInstanceOf(OrderScheduler.Step.DrainModel.class, step).model());
      assertTrue(scheduler.draining("b"));
    }
  }

  @Nested
  @DisplayName("for adapters")
  class Adapters {

    @Test
    @DisplayName("evicts the least recently used adapter when all adapter slots are occupied")
    void places() {
      report(0, "a");
      loadAdapter("x");
      now += 10;
      loadAdapter("y");
      now += 2_000;
      scheduler.recordUse("a", "x", now);
      now += 1_600;
      scheduler.recordUse("a", "x", now);
      scheduler.requestLoad("a", "z", now + 10_000, now);

      ModelOrder evict = send();
      assertFalse(evict.load());
      assertEquals(Optional.of("y"), evict.adapter());
    }

    @Test
    @DisplayName("sends no order while a model is being loaded, since the engine would reject it")
    void whileLoading() {
      startLoad();
      scheduler.requestLoad("a", "x", now + 10_000, now);

      assertTrue(scheduler.next(context, now + 100).isEmpty());
    }

    private void loadAdapter(String adapter) {
      scheduler.requestLoad("a", adapter, now + 10_000, now);
      send();
      respond(OrderResponse.ACCEPTED);
    }
  }

  private void failConfirmationsUntilReport() {
    startLoad();
    now += 1_000;
    for (int i = 0; i < 3; i++) {
      send();
      respond(OrderResponse.CONFLICT);
      now += 100;
    }
    scheduler.next(context, now);
  }

  private void startLoad() {
    report(0, "a");
    scheduler.requestLoad("c", "", now + 10_000, now);
    send();
    respond(OrderResponse.ACCEPTED);
  }

  private void report(long orders, String... models) {
    scheduler.requestLoad("c", "", now + 10_000, now);
    assertInstanceOf(
        OrderScheduler.Step.ReadState.class, scheduler.next(context, now).orElseThrow());
    scheduler.onReport(Optional.of(engineReport(false, orders, models)), now);
    scheduler.expireRequests(Long.MAX_VALUE);
    now += 5_000;
  }

  private static EngineReport engineReport(boolean busy, long orders, String... models) {
    List<LoadedModel> held = Arrays.stream(models).map(m -> new LoadedModel(m, Set.of())).toList();
    return new EngineReport(held, busy, orders);
  }

  private ModelOrder send() {
    OrderScheduler.Step step = scheduler.next(context, now).orElseThrow();
    return assertInstanceOf(OrderScheduler.Step.SendOrder.class, step).order();
  }

  private List<HoldingChange> respond(OrderResponse response) {
    return scheduler.onResponse(response, context, now);
  }
}
