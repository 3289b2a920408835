package io.kumquatspindle.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("kumquatspindle status, ticket status, ticket list, explain")
class StatusTests {
  @TempDir private Path directory;
  private CliHarness harness;

  @BeforeEach
  void acceptTicket() throws IOException {
    harness = new CliHarness(directory);
    harness.write("t.json", TicketFileTests.ticket(1, "ann", 10));
    harness.run("ticket file SITE DIR/t.json");
    harness.log.add("{\"number\":7,\"author\":\"bo\",\"filing\":\"f\"}");
  }

  @Test
  @DisplayName("list the VMs of each failure domain")
  void status() {
    partition();
    approve(ExitStatus.DONE, "status SITE");
  }

  @Test
  @DisplayName("assume the default grace period while the log is down")
  void statusInOutage() {
    partition();
    harness.log.down = true;
    approve(ExitStatus.DONE, "status SITE");
  }

  @Test
  @DisplayName("list the VMs on which a ticket is not known to be in force")
  void behind() {
    partition();
    approve(ExitStatus.NOT_EVERYWHERE, "ticket status SITE 1");
  }

  // Guards against a VM in state GONE, which never catches up, preventing a ticket from being
  // reported as in force everywhere.
  @Test
  @DisplayName("say that a ticket is in force on all live VMs")
  void inForce() {
    harness.statusPages.put(
        "10.0.0.1:7100", page("vm-a1", "a", 1, 300, member("vm-a2", "a", "GONE", 0, 90_000)));
    harness.statusPages.put("10.0.1.1:7100", page("vm-b1", "b", 1, 200, ""));
    approve(ExitStatus.DONE, "ticket status SITE 1");
  }

  @Test
  @DisplayName("say that a ticket was not accepted")
  void notAccepted() {
    partition();
    approve(ExitStatus.REJECTED, "ticket status SITE 7");
  }

  @Test
  @DisplayName("print JSON")
  void json() {
    partition();
    approve(ExitStatus.NOT_EVERYWHERE, "ticket status SITE --output json 1");
  }

  @Test
  @DisplayName("list tickets with their effect")
  void list() {
    approve(ExitStatus.DONE, "ticket list SITE");
  }

  @Test
  @DisplayName("explain a model with the page of the first control that responds")
  void explain() {
    harness.explainPages.put(
        "10.0.1.1:7100",
        """
        {"model":"m","known":true,"replicas":[
          {"endpoint":"e1","state":"READY","expectedReadyMs":0},
          {"endpoint":"e2","state":"LOADING","expectedReadyMs":2500}],
         "pending":["load at e3 waits for the weight store"],"reason":"two customers wait"}""");
    approve(ExitStatus.DONE, "explain SITE m");
  }

  @Test
  @DisplayName("report that no control responds")
  void unreachable() {
    assertEquals(ExitStatus.UNREACHABLE, harness.run("status SITE"));
    assertEquals(ExitStatus.UNREACHABLE, harness.run("explain SITE m"));
  }

  static String page(String vm, String domain, long number, long confirmedAgoMs, String members) {
    return """
        {"vm":"%s","failureDomain":"%s","number":%d,"ticketsOffset":9,"confirmedAgoMs":%d,
         "members":[%s],"configGap":false}"""
        .formatted(vm, domain, number, confirmedAgoMs, members);
  }

  private static String member(String vm, String domain, String state, long number, long agoMs) {
    return """
        {"vm":"%s","failureDomain":"%s","address":"10.0.0.9:7200","state":"%s","number":%d,
         "lastHeardAgoMs":%d}"""
        .formatted(vm, domain, state, number, agoMs);
  }

  /** Simulates a network partition that makes the control of failure domain b unreachable. */
  private void partition() {
    String members =
        String.join(
            ",",
            member("vm-a1", "a", "ALIVE", 1, 0),
            member("vm-a2", "a", "ALIVE", 1, 700),
            member("vm-b1", "b", "SUSPECT", 0, 312_000),
            member("vm-b2", "b", "SUSPECT", 0, 1_000_000));
    harness.statusPages.put("10.0.0.1:7100", page("vm-a1", "a", 1, 400, members));
  }

  private void approve(ExitStatus status, String commandLine) {
    assertEquals(status, harness.run(commandLine), harness.printed());
    Approvals.verify(harness.printed(), CliHarness.APPROVAL);
  }
}
