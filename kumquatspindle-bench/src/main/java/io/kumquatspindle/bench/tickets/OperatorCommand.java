package io.kumquatspindle.bench.tickets;

import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.bench.processes.BuildTree;
import io.kumquatspindle.bench.processes.ManagedProcess;
import io.kumquatspindle.bench.processes.SiteVm;
import io.kumquatspindle.bench.processes.TestSite;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** Runs the command-line program of operators against a test site. */
public final class OperatorCommand {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final BuildTree tree;
  private final TestSite site;
  private final AtomicInteger runs = new AtomicInteger();

  /**
   * Creates a command for a site.
   *
   * @param tree the build tree with the programs
   * @param site the site
   */
  public OperatorCommand(BuildTree tree, TestSite site) {
    this.tree = tree;
    this.site = site;
  }

  /**
   * Files a ticket with {@code kumquatspindle ticket file}.
   *
   * @param ticket the ticket
   * @return the result of the command
   * @throws IOException if the command cannot be run
   */
  public Result file(Ticket ticket) throws IOException {
    return file("ticket-" + ticket.number(), ticket);
  }

  /**
   * Files a ticket from a file with a given name. May be called by several threads at once.
   *
   * @param name the name of the file, without extension
   * @param ticket the ticket
   * @return the result of the command
   * @throws IOException if the command cannot be run
   */
  public Result file(String name, Ticket ticket) throws IOException {
    Path file = site.directory().resolve(name + ".json");
    Files.write(file, Json.encode(ticket));
    return run("ticket", "file", file.toString(), "--settings", writeSettings().toString());
  }

  /**
   * Runs the command and waits for its end.
   *
   * @param args the command-line arguments
   * @return the result of the command
   * @throws IOException if the command cannot be run
   */
  public Result run(String... args) throws IOException {
    ManagedProcess p =
        ManagedProcess.builder("operator-" + runs.incrementAndGet(), site.directory())
            .args(tree.launcher("kumquatspindle").toString())
            .args(args)
            .start();
    try (p) {
      OptionalInt status = p.awaitExit(TIMEOUT);
      String output = Files.readString(p.output()) + Files.readString(p.errorOutput());
      return new Result(status, output.strip());
    }
  }

  /** Writes the settings file with the log service and the admin addresses of all controls. */
  private synchronized Path writeSettings() throws IOException {
    String admins =
        site.vms().stream()
            .map(SiteVm::controlAdminUrl)
            .map(URI::getAuthority)
            .collect(Collectors.joining(", "));
    String text =
        "[log]\nurl = "
            + site.standInUrl("log")
            + "\n[controls]\nadmin_addresses = "
            + admins
            + "\n";
    return Files.writeString(site.directory().resolve("operator.ini"), text);
  }

  /**
   * The result of a command.
   *
   * @param status the exit status; empty if the command did not end in time
   * @param output standard output followed by standard error
   */
  public record Result(OptionalInt status, String output) {

    /**
     * Returns whether the command succeeded.
     *
     * @return {@code true} if the exit status is 0
     */
    public boolean succeeded() {
      return status.equals(OptionalInt.of(0));
    }
  }
}
