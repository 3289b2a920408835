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

/** Runs the operators' command line against a test site, as an operator would. */
public final class OperatorCommand {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final BuildTree tree;
  private final TestSite site;
  private final AtomicInteger runs = new AtomicInteger();

  /**
   * Creates the command.
   *
   * @param tree where the programs were built
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
   * @return what the command answered
   * @throws IOException if the command cannot be run
   */
  public Result file(Ticket ticket) throws IOException {
    return file("ticket-" + ticket.number(), ticket);
  }

  /**
   * Files a ticket from a file with a given name; may be called by several threads.
   *
   * @param name name of the file, without extension
   * @param ticket the ticket
   * @return what the command answered
   * @throws IOException if the command cannot be run
   */
  public Result file(String name, Ticket ticket) throws IOException {
    Path file = site.directory().resolve(name + ".json");
    Files.write(file, Json.encode(ticket));
    return run("ticket", "file", file.toString(), "--settings", settings().toString());
  }

  /**
   * Runs the command.
   *
   * @param args its arguments
   * @return what it answered
   * @throws IOException if it cannot be run
   */
  public Result run(String... args) throws IOException {
    ManagedProcess p =
        ManagedProcess.builder("operator-" + runs.incrementAndGet(), site.directory())
            .args(tree.launcher("kumquatspindle").toString())
            .args(args)
            .start();
    try (p) {
      OptionalInt status = p.awaitExit(TIMEOUT);
      String output = Files.readString(p.output()) + Files.readString(p.errors());
      return new Result(status, output.strip());
    }
  }

  /** Writes the command's settings: the log service and the admin pages of all controls. */
  private synchronized Path settings() throws IOException {
    String admins =
        site.vms().stream()
            .map(SiteVm::controlAdmin)
            .map(URI::getAuthority)
            .collect(Collectors.joining(", "));
    String text =
        "[log]\nurl = " + site.url("log") + "\n[controls]\nadmin_addresses = " + admins + "\n";
    return Files.writeString(site.directory().resolve("operator.ini"), text);
  }

  /**
   * What the command answered.
   *
   * @param status its exit status; empty if it did not end in time
   * @param output its standard output and standard error output
   */
  public record Result(OptionalInt status, String output) {

    /**
     * Tells whether the command succeeded.
     *
     * @return whether its exit status is 0
     */
    public boolean succeeded() {
      return status.equals(OptionalInt.of(0));
    }
  }
}
