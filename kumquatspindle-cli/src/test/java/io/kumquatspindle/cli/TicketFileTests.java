package io.kumquatspindle.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.engine.config.Snapshots;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@DisplayName("kumquatspindle ticket file")
class TicketFileTests {
  private static final String FILE = "ticket file SITE DIR/t.json";

  @TempDir private Path directory;
  private CliHarness harness;

  @BeforeEach
  void writeTicket() throws IOException {
    harness = new CliHarness(directory);
    harness.write("t.json", ticket(1, "ann", 10));
  }

  @Test
  @DisplayName("reports an accepted ticket, and appends nothing when repeated")
  void accepted() {
    assertRun(ExitStatus.DONE, FILE, "Ticket 1: accepted at offset 0");
    assertRun(ExitStatus.DONE, FILE, "Ticket 1: accepted at offset 0");
    assertEquals(1, appended());
  }

  @Test
  @DisplayName("does not file an invalid ticket")
  void rejected() throws IOException {
    harness.write("t.json", ticket(1, "ann", -1));
    assertRun(ExitStatus.REJECTED, FILE, "customer x: tokensPerSecond must be");
    harness.write("t.json", "{\"nummer\":1}");
    assertRun(ExitStatus.REJECTED, FILE, "$.nummer: no such field");
    assertEquals(0, appended());
  }

  @Test
  @DisplayName("rejects a filing identifier that was used for another ticket")
  void foreignFiling() throws IOException {
    assertRun(ExitStatus.DONE, FILE, "accepted");
    harness.write("t.json", ticket(2, "ann", 10));
    assertRun(ExitStatus.USAGE, FILE + " --filing id-1", "was used for another ticket");
  }

  @Test
  @DisplayName("reports which author took the number first, and files the renumbered ticket")
  void lost() throws IOException {
    String other = ticket(1, "bo", 20).replace("{\"number\"", "{\"filing\":\"b\",\"number\"");
    harness.log.beforeAppend = () -> harness.log.add(other);
    assertRun(ExitStatus.REJECTED, FILE, "lost the race for the number to bo; next number 2");
    assertEquals(2, appended());
    harness.write("t.json", ticket(2, "ann", 10));
    assertRun(ExitStatus.DONE, FILE, "Ticket 2: accepted at offset 2");
  }

  @Nested
  @DisplayName("when the log fails")
  class Outage {
    @Test
    @DisplayName("before the append, reports that nothing was filed")
    void downBefore() {
      harness.log.down = true;
      assertRun(ExitStatus.UNREACHABLE, FILE, "nothing was filed");
      assertFalse(Files.exists(directory.resolve("t.json.filing")));
    }

    // The append took effect although its response was lost.
    @Test
    @DisplayName("to respond, finds the ticket by reading the log")
    void lostAnswer() {
      harness.log.dropResponses = true;
      assertRun(ExitStatus.DONE, FILE, "accepted at offset 0");
    }

    @Test
    @DisplayName("to respond and to be read, reports an unknown outcome until it can be read")
    void unreadable() {
      harness.log.dropResponses = true;
      harness.log.failDuringAppend = true;
      assertRun(ExitStatus.UNKNOWN, FILE, "outcome unknown: the log cannot be read");
      assertRun(ExitStatus.UNKNOWN, FILE, "an earlier attempt may be in the log");
      harness.log.down = false;
      assertRun(ExitStatus.DONE, FILE, "accepted at offset 0");
      assertEquals(1, appended());
    }

    @Test
    @DisplayName("to respond and the ticket is not in the log, files it when repeated")
    void lostRecord() {
      harness.log.dropResponses = true;
      harness.log.dropRecords = true;
      assertRun(ExitStatus.UNKNOWN, FILE, "the ticket is not in the log yet");
      harness.log.dropRecords = false;
      assertRun(ExitStatus.DONE, FILE, "accepted at offset 0");
    }
  }

  @Test
  @DisplayName("starts from the snapshot that covers expired records")
  void snapshot() throws Exception {
    assertRun(ExitStatus.DONE, FILE, "accepted");
    var configuration = new TicketLog(harness.log).read().configuration();
    harness.log.earliest.put(StreamName.TICKETS, 1L);
    harness.write("t.json", ticket(2, "ann", 10));
    assertRun(ExitStatus.UNREACHABLE, FILE, "no snapshot covers the rest");
    Snapshots.split(StreamName.TICKETS, 1, "s", configuration)
        .forEach(c -> harness.log.append(StreamName.SNAPSHOTS, Json.encode(c)));
    assertRun(ExitStatus.DONE, FILE, "Ticket 2: accepted at offset 1");
  }

  @Nested
  @DisplayName("with --wait")
  class Wait {
    @Test
    @DisplayName("ends when the ticket is in force on all live VMs")
    void inForce() {
      harness.onPause =
          () -> {
            harness.statusPages.put("10.0.0.1:7100", StatusTests.page("vm-a1", "a", 1, 100, ""));
            harness.statusPages.put("10.0.1.1:7100", StatusTests.page("vm-b1", "b", 1, 100, ""));
          };
      assertRun(ExitStatus.DONE, FILE + " --wait", "In force on all live VMs (2)");
    }

    @Test
    @DisplayName("reports what is still missing when the timeout expires")
    void late() {
      harness.statusPages.put("10.0.0.1:7100", StatusTests.page("vm-a1", "a", 0, 100, ""));
      assertRun(
          ExitStatus.NOT_EVERYWHERE,
          FILE + " --wait --timeout 2",
          "No VM is known of failure domain b");
    }
  }

  static String ticket(long number, String author, long rate) {
    return """
        {"number":%d,"author":"%s","comment":"test","limits":{"failureDomains":["a","b"],
         "slotsPerDomain":4,"storeLoadsAtOnce":4,"storeLoadsPerSecond":4,"adapterLoadsAtOnce":30},
         "customers":[{"name":"x","tokensPerSecond":%d,"burstTokens":5}]}"""
        .formatted(number, author, rate);
  }

  private int appended() {
    return harness.log.records(StreamName.TICKETS).size();
  }

  private void assertRun(ExitStatus status, String commandLine, String printed) {
    ExitStatus actual = harness.run(commandLine);
    assertEquals(status, actual, harness.printed());
    assertTrue(harness.printed().contains(printed), harness.printed());
  }
}
