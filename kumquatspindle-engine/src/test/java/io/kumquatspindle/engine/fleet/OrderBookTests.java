package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.fleet.EngineInfo;
import io.kumquatspindle.api.fleet.EngineReport;
import io.kumquatspindle.api.fleet.LoadedModel;
import io.kumquatspindle.api.fleet.ModelOrder;
import io.kumquatspindle.api.fleet.OrderResponse;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Orders of one endpoint")
class OrderBookTests {
  private final OrderBook book = new OrderBook();
  private final TestContext context = new TestContext();
  private long now = 10_000;

  @Test
  @DisplayName("reads the count of orders first and evicts before it loads")
  void swap() {
    report(7, "a", "b");
    book.want("c", "", now + 10_000, now);

    ModelOrder evict = send();
    assertFalse(evict.load());
    assertEquals(7, evict.expectedOrders());
    answer(OrderResponse.ACCEPTED);
    now += 100;
    ModelOrder load = send();
    assertTrue(load.load());
    assertEquals("c", load.model());
    assertEquals(8, load.expectedOrders());
  }

  @Test
  @DisplayName("orders nothing that does not fit, also while a load is in progress")
  void memory() {
    report(0, "a");
    book.want("c", "", now + 10_000, now);
    book.want("d", "", now + 10_000, now);
    assertEquals("c", send().model());
    answer(OrderResponse.ACCEPTED);

    assertTrue(book.next(context, now + 10).isEmpty());
  }

  @Test
  @DisplayName("leaves models alone that requests use")
  void inUse() {
    report(0, "a", "b");
    context.running.addAll(Set.of("a", "b"));
    book.want("c", "", now + 10_000, now);

    assertTrue(book.next(context, now).isEmpty());
    context.running.remove("b");
    assertEquals("b", send().model());
  }

  @Test
  @DisplayName("confirms a load by sending it again, and then holds the model")
  void confirm() {
    loadBegun();

    now += 1_000;
    send();
    List<HoldingChange> changes = answer(OrderResponse.HOLDS);
    assertEquals(HoldingChange.Kind.LOADED, changes.get(0).kind());
    assertTrue(book.holds("c", ""));
  }

  @Test
  @DisplayName("asks the endpoint when a load is never confirmed, instead of repeating it for ever")
  void stuckLoad() {
    loadBegun();
    now += 1_000;
    for (int i = 0; i < 3; i++) {
      send();
      answer(OrderResponse.CONFLICT);
      now += 100;
    }

    assertInstanceOf(OrderBook.Step.Report.class, book.next(context, now).orElseThrow());
    book.onReport(Optional.of(state(false, 12, "a", "c")), now);
    assertTrue(book.holds("c", ""));
    assertTrue(book.loading().isEmpty());
  }

  @Test
  @DisplayName("pauses between reports while the endpoint is still loading")
  void noReportLoop() {
    stuckUntilReport();
    book.onReport(Optional.of(state(true, 1, "a")), now);

    assertTrue(book.next(context, now).isEmpty());
    assertTrue(book.next(context, now + 100).isEmpty());
  }

  @Test
  @DisplayName("reads the state anew after an order without an answer")
  void unanswered() {
    report(3, "a");
    book.want("c", "", now + 10_000, now);
    send();
    answer(OrderResponse.UNKNOWN);

    assertTrue(book.next(context, now + 100).isEmpty());
    assertInstanceOf(OrderBook.Step.Report.class, book.next(context, now + 600).orElseThrow());
  }

  @Nested
  @DisplayName("when several models are wanted")
  class Queue {

    @Test
    @DisplayName("loads first what many callers miss, though others have waited for longer")
    void missedFirst() {
      report(0);
      book.want("a", "", now + 10_000, now);
      book.want("b", "", now + 10_000, now + 100);
      context.missed.add("b");

      assertEquals("b", send().model());
    }

    @Test
    @DisplayName("loads first whose goal can still be met, the earliest goal before the others")
    void goals() {
      report(0);
      book.want("a", "", now + 900, now);
      book.want("b", "", now + 3_000, now + 10);
      book.want("c", "", now + 2_000, now + 20);

      assertEquals("c", send().model());
    }

    @Test
    @DisplayName("loads what is late as soon as no goal is left to meet")
    void lateLast() {
      report(0);
      book.want("a", "", now + 900, now);

      assertEquals("a", send().model());
    }

    @Test
    @DisplayName("takes the goal of a newer caller when the earlier one is past")
    void newerGoal() {
      report(0);
      book.want("a", "", now, now);
      book.want("b", "", now + 2_000, now);
      now += 500;
      book.want("a", "", now + 1_100, now);

      assertEquals("a", send().model());
    }

    @Test
    @DisplayName("drops a want that another endpoint has met, instead of loading the model twice")
    void metElsewhere() {
      report(0);
      book.want("a", "", now + 2_000, now);
      context.unneeded.add("a");

      assertTrue(book.next(context, now).isEmpty());
      assertEquals(0, book.wantCount());
    }

    @Test
    @DisplayName("keeps a want that is told again, with its age, and forgets one that is not")
    void toldAgain() {
      report(0);
      book.want("a", "", now, now);
      book.want("a", "", now, now + 2_000);
      book.forgetWantsBefore(now + 1_000);
      assertEquals(1, book.wantCount());

      book.forgetWantsBefore(now + 2_001);
      assertEquals(0, book.wantCount());
    }

    @Test
    @DisplayName("tells how long the models that wait take to load, without those that it holds")
    void queued() {
      report(0, "a");
      book.want("a", "x", now + 2_000, now);
      book.want("b", "", now + 2_000, now);
      book.want("unknown", "", now + 2_000, now);

      assertEquals(Map.of("b", 1_000), book.queued(context));
    }
  }

  @Nested
  @DisplayName("when all models are in use but one has copies to spare")
  class Retirement {

    @Test
    @DisplayName("keeps requests from the spare copy and evicts it when its last request ends")
    void spareCopy() {
      retire();
      assertTrue(book.next(context, now + 50).isEmpty(), "while a request runs");

      context.running.remove("b");
      now += 100;
      ModelOrder evict = send();
      assertFalse(evict.load());
      assertEquals("b", evict.model());
      answer(OrderResponse.ACCEPTED);
      assertFalse(book.retiring("b"));
    }

    @Test
    @DisplayName("evicts the spare copy after a second although requests still run")
    void longRequest() {
      retire();
      now += 1_000;

      assertEquals("b", send().model());
    }

    @Test
    @DisplayName(
        "lets requests to the copy again when the model that needed its room is not wanted")
    void givenUp() {
      retire();
      book.forgetWantsBefore(Long.MAX_VALUE);
      now += 2_000;

      assertTrue(book.next(context, now).isEmpty());
      assertFalse(book.retiring("b"));
    }

    private void retire() {
      report(0, "a", "b");
      context.running.addAll(Set.of("a", "b"));
      context.spare.add("b");
      book.want("c", "", now + 2_000, now);
      OrderBook.Step step = book.next(context, now).orElseThrow();
      assertEquals("b", assertInstanceOf(OrderBook.Step.Retire.class, step).model());
      assertTrue(book.retiring("b"));
    }
  }

  @Nested
  @DisplayName("for adapters")
  class Adapters {

    @Test
    @DisplayName("evicts the adapter that was not used for longest when all places are taken")
    void places() {
      report(0, "a");
      loadAdapter("x");
      now += 10;
      loadAdapter("y");
      now += 2_000;
      book.used("a", "x", now);
      now += 1_600;
      book.used("a", "x", now);
      book.want("a", "z", now + 10_000, now);

      ModelOrder evict = send();
      assertFalse(evict.load());
      assertEquals(Optional.of("y"), evict.adapter());
    }

    @Test
    @DisplayName("sends no order while a model is being loaded, as the engine would refuse it")
    void whileLoading() {
      loadBegun();
      book.want("a", "x", now + 10_000, now);

      assertTrue(book.next(context, now + 100).isEmpty());
    }

    private void loadAdapter(String adapter) {
      book.want("a", adapter, now + 10_000, now);
      send();
      answer(OrderResponse.ACCEPTED);
    }
  }

  private void stuckUntilReport() {
    loadBegun();
    now += 1_000;
    for (int i = 0; i < 3; i++) {
      send();
      answer(OrderResponse.CONFLICT);
      now += 100;
    }
    book.next(context, now);
  }

  private void loadBegun() {
    report(0, "a");
    book.want("c", "", now + 10_000, now);
    send();
    answer(OrderResponse.ACCEPTED);
  }

  private void report(long orders, String... models) {
    book.want("c", "", now + 10_000, now);
    assertInstanceOf(OrderBook.Step.Report.class, book.next(context, now).orElseThrow());
    book.onReport(Optional.of(state(false, orders, models)), now);
    book.forgetWantsBefore(Long.MAX_VALUE);
    now += 5_000;
  }

  private static EngineReport state(boolean busy, long orders, String... models) {
    List<LoadedModel> held = Arrays.stream(models).map(m -> new LoadedModel(m, Set.of())).toList();
    return new EngineReport(held, busy, orders);
  }

  private ModelOrder send() {
    OrderBook.Step step = book.next(context, now).orElseThrow();
    return assertInstanceOf(OrderBook.Step.Send.class, step).order();
  }

  private List<HoldingChange> answer(OrderResponse answer) {
    return book.onAnswer(answer, context, now);
  }

  private static final class TestContext implements OrderContext {
    private final Set<String> running = new HashSet<>();
    private final Set<String> unneeded = new HashSet<>();
    private final Set<String> missed = new HashSet<>();
    private final Set<String> spare = new HashSet<>();

    @Override
    public EngineInfo engine() {
      return Entries.info("a", "b", "c", "d");
    }

    @Override
    public long fence() {
      return 41;
    }

    @Override
    public long loadMs(String model) {
      return 1_000;
    }

    @Override
    public boolean mayLoad(String model) {
      return true;
    }

    @Override
    public double value(String model) {
      return 1;
    }

    @Override
    public boolean needed(String model) {
      return !unneeded.contains(model);
    }

    @Override
    public boolean missed(String model) {
      return missed.contains(model);
    }

    @Override
    public boolean spare(String model) {
      return spare.contains(model);
    }

    @Override
    public double keepValue(String model) {
      return 0.1;
    }

    @Override
    public boolean runs(String model, String adapter) {
      return running.contains(model);
    }
  }
}
