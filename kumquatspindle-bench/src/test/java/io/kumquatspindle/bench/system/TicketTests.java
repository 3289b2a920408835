package io.kumquatspindle.bench.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.model.FailureDomain;
import io.kumquatspindle.bench.history.History;
import io.kumquatspindle.bench.history.Operation;
import io.kumquatspindle.bench.history.TicketChecker;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.Relay;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import io.kumquatspindle.bench.tickets.OperatorCommand;
import io.kumquatspindle.bench.tickets.SiteTickets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against ticket numbers with two contents, tickets that take effect late, and tickets that
 * are reverted (C13). The site has two failure domains of two VMs each.
 */
@DisplayName("Tickets")
class TicketTests {
  private static final Duration BOUND = Duration.ofSeconds(3);
  private static final FailureDomain A = FailureDomain.of("a");
  private static final String KEY = "key-first";

  @TempDir static Path dir;
  private static TestSite site;
  private static OperatorCommand operator;
  private static final AtomicLong LAST_NUMBER = new AtomicLong(1);

  private final History history = new History();
  private FleetObserver observer;

  @BeforeAll
  static void startSite() throws Exception {
    site =
        TestSite.builder(BuildTree.current(), dir)
            .domains("a", "b")
            .vmsPerDomain(2)
            .endpoints(0, 0)
            .platformRelays()
            .peerRelays()
            .start();
    operator = new OperatorCommand(BuildTree.current(), site);
    assertEquals(
        0, operator.file(SiteTickets.initialTicket(site, KEY, List.of())).status().orElse(-1));
  }

  @AfterAll
  static void stopSite() {
    site.close();
  }

  @BeforeEach
  void startObserver() throws Exception {
    observer = new FleetObserver(history, site.vms());
    // The first ticket must stay in effect during every test.
    observer.observeKeys(1, List.of(KEY));
    awaitEverywhere(1);
    history.add(acceptance(1, KEY));
  }

  @AfterEach
  void clearFaults() throws Exception {
    observer.close();
    site.links().heal();
    Http.setFaults(site.standInUrl("log"), "{}");
  }

  private static Operation acceptance(long number, String content) {
    long now = System.nanoTime();
    return new Operation("operator", TicketChecker.FILE, Long.toString(number), content, now, now);
  }

  private static TicketChecker checker() {
    return new TicketChecker(
        BOUND, site.vms().stream().map(v -> v.id().value()).collect(Collectors.toSet()));
  }

  private int file(String author, long number, String key) throws Exception {
    Ticket ticket = TestTickets.addKey(number, key);
    int[] status = new int[1];
    history.record(
        author,
        TicketChecker.FILE,
        Long.toString(number),
        () -> {
          status[0] = operator.file(author + "-" + number, ticket).status().orElse(-1);
          return status[0] == 0 ? key : TicketChecker.NONE;
        });
    return status[0];
  }

  private long lastAcceptance() {
    return history.withAction(TicketChecker.FILE).stream()
        .filter(o -> !o.outcome().equals(TicketChecker.NONE))
        .mapToLong(Operation::returnedNanos)
        .max()
        .orElseThrow();
  }

  /** Waits until each ticket was observed at every VM after the bound, as the checker requires. */
  private void awaitObservationsAfterBound(long fromNanos) throws Exception {
    long due = fromNanos + BOUND.toNanos();
    for (SiteVm vm : site.vms()) {
      for (String number :
          history.withAction(TicketChecker.FILE).stream()
              .map(Operation::subject)
              .distinct()
              .toList()) {
        Polling.until(
            "an observation of " + number + " at " + vm.id(),
            BOUND.multipliedBy(3),
            () ->
                history.operations().stream()
                    .anyMatch(
                        o ->
                            o.action().equals(TicketChecker.OBSERVE)
                                && o.actor().equals(vm.id().value())
                                && o.subject().equals(number)
                                && !o.outcome().equals(TicketChecker.UNKNOWN)
                                && o.beganAfter(due)));
      }
    }
  }

  private void awaitEverywhere(long number) throws Exception {
    for (SiteVm vm : site.vms()) {
      Polling.until(
          "ticket " + number + " at " + vm.id(),
          Duration.ofSeconds(20),
          () ->
              Http.getJson(vm.controlAdminUrl().resolve("/status")).path("number").asLong()
                  >= number);
    }
  }

  private void assertNoViolations() throws Exception {
    awaitObservationsAfterBound(lastAcceptance());
    assertEquals(List.of(), checker().violations(history));
  }

  private long ticketRecordCount() throws Exception {
    return Http.getJson(site.standInUrl("log").resolve("/stats"))
        .path("tickets")
        .path("end")
        .asLong();
  }

  private void assertOneWinner(long number) throws Exception {
    List<String> keys = List.of("key-x-" + number, "key-y-" + number);
    observer.observeKeys(number, keys);
    CompletableFuture<Integer> x = supplyAsync(() -> file("x", number, keys.get(0)));
    CompletableFuture<Integer> y = supplyAsync(() -> file("y", number, keys.get(1)));
    assertEquals(Set.of(0, 1), Set.of(x.get(), y.get()));
    long records = ticketRecordCount();
    // Repeating a request with the same filing id returns the same answer and appends nothing.
    assertEquals(x.get(), file("x", number, keys.get(0)));
    assertEquals(y.get(), file("y", number, keys.get(1)));
    assertEquals(records, ticketRecordCount());
    assertNoViolations();
  }

  private static CompletableFuture<Integer> supplyAsync(Callable<Integer> work) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return work.call();
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @Test
  @DisplayName("have one content per number when two operators race, and the loser is notified")
  void race() throws Exception {
    assertOneWinner(LAST_NUMBER.incrementAndGet());
  }

  @Test
  @DisplayName("have one content per number when answers to appends are lost")
  void raceWithLostAnswers() throws Exception {
    Http.setFaults(
        site.standInUrl("log"), "{\"loseAnswer\":true,\"only\":\"appends\",\"remaining\":2}");
    assertOneWinner(LAST_NUMBER.incrementAndGet());
  }

  @Test
  @DisplayName("take effect in time at VMs whose link to the log is cut or silent")
  void withoutLog() throws Exception {
    Relay log = site.links().platformRelay(A, "log").orElseThrow();
    for (Runnable fault : List.<Runnable>of(log::cut, log::stall)) {
      fault.run();
      long number = LAST_NUMBER.incrementAndGet();
      String key = "key-" + number;
      observer.observeKeys(number, List.of(key));
      assertEquals(0, file("operator", number, key));
      assertNoViolations();
      log.forward();
    }
    awaitObservationsAfterBound(System.nanoTime());
    assertEquals(List.of(), checker().violations(history));
  }

  @Test
  @DisplayName("are not reverted when the log returns, a VM restarts, or a VM was paused")
  void neverRevert() throws Exception {
    SiteVm paused = site.vms().get(0);
    SiteVm restarted = site.vms().get(1);
    long from = System.nanoTime();
    paused.control().pause();
    paused.entry().pause();
    long number = LAST_NUMBER.incrementAndGet();
    String key = "key-" + number;
    observer.observeKeys(number, List.of(key));
    assertEquals(0, file("operator", number, key));
    restarted.kill();
    Http.setFaults(site.standInUrl("log"), "{\"out\":true}");
    restarted.startControl();
    restarted.startEntry();
    restarted.awaitReady();
    addAbsence(restarted, from);
    paused.control().resume();
    paused.entry().resume();
    addAbsence(paused, from);
    awaitObservationsAfterBound(System.nanoTime());
    Http.setFaults(site.standInUrl("log"), "{}");
    awaitObservationsAfterBound(System.nanoTime());
    assertEquals(List.of(), checker().violations(history));
  }

  private void addAbsence(SiteVm vm, long fromNanos) {
    history.add(
        new Operation(
            vm.id().value(), TicketChecker.UNAVAILABLE, "", "", fromNanos, System.nanoTime()));
  }
}
