package io.kumquatspindle.cli;

import io.kumquatspindle.api.admin.ExplainPage;
import io.kumquatspindle.api.admin.StatusPage;
import io.kumquatspindle.api.json.Json;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;

/** Runs commands against in-memory fakes and a clock that advances only when a command sleeps. */
final class CliHarness implements AdminClient {
  /** Options that keep ApprovalTests from starting a diff tool. */
  static final Options APPROVAL = new Options().withReporter(new QuietReporter());

  final InMemoryLogService log = new InMemoryLogService();
  final Map<String, String> statusPages = new HashMap<>();
  final Map<String, String> explainPages = new HashMap<>();
  Runnable onPause = () -> {};

  private final Path directory;
  private final AtomicLong now = new AtomicLong();
  private final AtomicLong ids = new AtomicLong();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  CliHarness(Path directory) throws IOException {
    this.directory = directory;
    write(
        "site.ini",
        "[log]\nurl = http://127.0.0.1:7000\n[controls]\n"
            + "admin_addresses = 10.0.0.1:7100, 10.0.1.1:7100\n");
  }

  Path write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  /** Runs a command; SITE and DIR are placeholders for the settings file and the directory. */
  ExitStatus run(String commandLine) {
    return run(commandLine, "");
  }

  ExitStatus run(String commandLine, String input) {
    String line =
        commandLine
            .replace("SITE", "--settings " + directory.resolve("site.ini"))
            .replace("DIR", directory.toString());
    out.reset();
    PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
    Environment environment =
        new Environment(
            new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
            print,
            print,
            url -> log,
            this,
            now::get,
            d -> {
              now.addAndGet(d.toMillis());
              onPause.run();
            },
            () -> "id-" + ids.incrementAndGet());
    return new CliProgram(environment).run(line.split(" +"));
  }

  /** Returns the output of the last command, with the directory replaced by DIR. */
  String printed() {
    return out.toString(StandardCharsets.UTF_8).replace(directory.toString(), "DIR");
  }

  @Override
  public PageResult<StatusPage> status(String address) {
    return answer(address, statusPages, StatusPage.class);
  }

  @Override
  public PageResult<ExplainPage> explain(String address, String model) {
    return answer(address, explainPages, ExplainPage.class);
  }

  private static <T> PageResult<T> answer(
      String address, Map<String, String> pages, Class<T> type) {
    String page = pages.get(address);
    if (page == null) {
      return PageResult.failure(address, "connection refused");
    }
    try {
      return PageResult.success(address, Json.decode(page.getBytes(StandardCharsets.UTF_8), type));
    } catch (IOException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
