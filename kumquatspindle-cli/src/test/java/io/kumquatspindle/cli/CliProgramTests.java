package io.kumquatspindle.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.kumquatspindle.api.admin.StatusPage;
import io.kumquatspindle.api.model.KeyHash;
import io.kumquatspindle.api.platform.StreamName;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("kumquatspindle")
class CliProgramTests {
  @TempDir private Path directory;
  private CliHarness harness;

  @BeforeEach
  void prepare() throws IOException {
    harness = new CliHarness(directory);
  }

  @ParameterizedTest
  @DisplayName("shows help with an example for every command")
  @ValueSource(
      strings = {
        "help",
        "help help",
        "help status",
        "help explain",
        "help key hash",
        "help ticket check",
        "help ticket new",
        "ticket file --help",
        "help ticket status",
        "help ticket list"
      })
  void help(String commandLine) {
    assertEquals(ExitStatus.DONE, harness.run(commandLine));
    Approvals.verify(
        harness.printed(),
        CliHarness.APPROVAL
            .forFile()
            .withAdditionalInformation(commandLine.replaceAll("\\W+", "-")));
  }

  @ParameterizedTest
  @DisplayName("rejects an invalid command line")
  @ValueSource(
      strings = {
        "nope",
        "ticket nope",
        "ticket status SITE",
        "ticket status SITE 0",
        "status --what",
        "ticket check DIR/absent.json",
        "status --settings DIR/absent.ini",
        "status --output xml"
      })
  void usage(String commandLine) {
    assertEquals(ExitStatus.USAGE, harness.run(commandLine), harness.printed());
  }

  @Test
  @DisplayName("reports the file, section, key and value of invalid settings")
  void settings() throws IOException {
    harness.write("site.ini", "[log]\nurl = http://host:1\n[controls]\nadmin_addresses = a:1\n");
    harness.run("status SITE");
    Approvals.verify(harness.printed(), CliHarness.APPROVAL);
  }

  @Test
  @DisplayName("prints a new ticket that the check command accepts")
  void newTicket() throws IOException {
    assertEquals(ExitStatus.DONE, harness.run("ticket new SITE --author ann"));
    harness.write("n.json", harness.printed());
    assertEquals(ExitStatus.DONE, harness.run("ticket check SITE DIR/n.json"), harness.printed());
    assertEquals("DIR/n.json: valid against the configuration as of ticket 0\n", harness.printed());
    harness.log.down = true;
    assertEquals(ExitStatus.UNREACHABLE, harness.run("ticket check SITE DIR/n.json"));
    assertTrue(harness.printed().contains("the format is valid"), harness.printed());
  }

  // Files the examples in order, as an operator who follows the documentation does.
  @Test
  @DisplayName("accepts the example tickets")
  void examples() throws IOException {
    try (var files = Files.list(Path.of("..", "examples", "tickets"))) {
      for (Path p : files.filter(f -> f.toString().endsWith(".json")).sorted().toList()) {
        harness.write("t.json", Files.readString(p));
        ExitStatus status = harness.run("ticket file SITE DIR/t.json");
        assertEquals(ExitStatus.DONE, status, p + ": " + harness.printed());
      }
    }
    assertTrue(harness.log.records(StreamName.TICKETS).size() > 2);
  }

  @Test
  @DisplayName("prints the hash of a key, and rejects a key that is not valid in a header")
  void keyHash() {
    assertEquals(ExitStatus.DONE, harness.run("key hash", "secret-1\n"));
    assertEquals(KeyHash.ofKey("secret-1") + "\n", harness.printed());
    assertEquals(ExitStatus.USAGE, harness.run("key hash", "two words\n"));
    assertEquals(ExitStatus.USAGE, harness.run("key hash", ""));
  }

  @Test
  @DisplayName("reads admin pages over HTTP, and reports HTTP errors and refused connections")
  void http() throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    byte[] page = StatusTests.page("vm-1", "a", 4, 5, "").getBytes(StandardCharsets.UTF_8);
    server.createContext(
        "/status",
        x -> {
          x.sendResponseHeaders(200, page.length);
          x.getResponseBody().write(page);
          x.close();
        });
    server.start();
    String address = "127.0.0.1:" + server.getAddress().getPort();
    AdminClient client = new HttpAdminClient();
    assertEquals(Optional.of(4L), client.status(address).page().map(StatusPage::number));
    assertEquals("HTTP status 404", client.explain(address, "m").problem());
    server.stop(0);
    assertEquals(Optional.empty(), client.status(address).page());
  }
}
