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

/** Proof of C13 with two failure domains of two VMs each. */
@DisplayName("Tickets")
class TicketTests {
  private static final Duration BOUND = Duration.ofSeconds(3);
  private static final FailureDomain A = FailureDomain.of("a");
  private static final String KEY = "key-first";

  @TempDir static Path dir;
  private static TestSite site;
  private static OperatorCommand operator;
  private static final AtomicLong LAST = new AtomicLong(1);

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
  void observe() throws Exception {
    observer = new FleetObserver(history, site.vms());
    // What earlier tickets put in force must stay in force whatever a test does.
    observer.keys(1, List.of(KEY));
    awaitEverywhere(1);
    history.add(accepted(1, KEY));
  }

  @AfterEach
  void heal() throws Exception {
    observer.close();
    site.links().heal();
    Http.faults(site.standInUrl("log"), "{}");
  }

  private static Operation accepted(long number, String content) {
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

  /** Waits until every VM was observed after the bound, so that the checker can judge. */
  private void awaitJudgement(long fromNanos) throws Exception {
    long due = fromNanos + BOUND.toNanos();
    for (SiteVm vm : site.vms()) {
      for (String number :
          history.withAction(TicketChecker.FILE).stream()
              .map(Operation::subject)
              .distinct()
              .toList()) {
        Waiting.until(
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
      Waiting.until(
          "ticket " + number + " at " + vm.id(),
          Duration.ofSeconds(20),
          () ->
              Http.json(vm.controlAdminUrl().resolve("/status")).path("number").asLong() >= number);
    }
  }

  private void judge() throws Exception {
    awaitJudgement(lastAcceptance());
    assertEquals(List.of(), checker().violations(history));
  }

  private long ticketRecords() throws Exception {
    return Http.json(site.standInUrl("log").resolve("/stats")).path("tickets").path("end").asLong();
  }

  private void race(long number) throws Exception {
    List<String> keys = List.of("key-x-" + number, "key-y-" + number);
    observer.keys(number, keys);
    CompletableFuture<Integer> x = async(() -> file("x", number, keys.get(0)));
    CompletableFuture<Integer> y = async(() -> file("y", number, keys.get(1)));
    assertEquals(Set.of(0, 1), Set.of(x.get(), y.get()));
    long records = ticketRecords();
    // A repeat with the same filing gives the same answer and appends nothing.
    assertEquals(x.get(), file("x", number, keys.get(0)));
    assertEquals(y.get(), file("y", number, keys.get(1)));
    assertEquals(records, ticketRecords());
    judge();
  }

  private static CompletableFuture<Integer> async(Callable<Integer> work) {
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
  @DisplayName("have one content per number when two operators race, and the loser is told")
  void race() throws Exception {
    race(LAST.incrementAndGet());
  }

  @Test
  @DisplayName("have one content per number when the log loses the answers to the appends")
  void raceWithLostAnswers() throws Exception {
    Http.faults(
        site.standInUrl("log"), "{\"loseAnswer\":true,\"only\":\"appends\",\"remaining\":2}");
    race(LAST.incrementAndGet());
  }

  @Test
  @DisplayName("are in force in time at VMs whose link to the log is cut or silent")
  void withoutLog() throws Exception {
    Relay log = site.links().platformRelay(A, "log").orElseThrow();
    for (Runnable fault : List.<Runnable>of(log::cut, log::stall)) {
      fault.run();
      long number = LAST.incrementAndGet();
      String key = "key-" + number;
      observer.keys(number, List.of(key));
      assertEquals(0, file("operator", number, key));
      judge();
      log.forward();
    }
    awaitJudgement(System.nanoTime());
    assertEquals(List.of(), checker().violations(history));
  }

  @Test
  @DisplayName("do not revert when the log comes back, a VM restarts, or a VM was paused")
  void neverRevert() throws Exception {
    SiteVm paused = site.vms().get(0);
    SiteVm restarted = site.vms().get(1);
    long from = System.nanoTime();
    paused.control().pause();
    paused.entry().pause();
    long number = LAST.incrementAndGet();
    String key = "key-" + number;
    observer.keys(number, List.of(key));
    assertEquals(0, file("operator", number, key));
    restarted.kill();
    Http.faults(site.standInUrl("log"), "{\"out\":true}");
    restarted.startControl();
    restarted.startEntry();
    restarted.awaitReady();
    absent(restarted, from);
    paused.control().resume();
    paused.entry().resume();
    absent(paused, from);
    awaitJudgement(System.nanoTime());
    Http.faults(site.standInUrl("log"), "{}");
    awaitJudgement(System.nanoTime());
    assertEquals(List.of(), checker().violations(history));
  }

  private void absent(SiteVm vm, long fromNanos) {
    history.add(
        new Operation(
            vm.id().value(), TicketChecker.UNAVAILABLE, "", "", fromNanos, System.nanoTime()));
  }
}
