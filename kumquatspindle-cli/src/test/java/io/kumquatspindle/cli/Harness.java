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

/** Runs the command against stand-ins in memory, with time that passes only in pauses. */
final class Harness implements AdminClient {
  /** Never starts a program to show differences. */
  static final Options APPROVAL = new Options().withReporter(new QuietReporter());

  final MemoryLog log = new MemoryLog();
  final Map<String, String> statusPages = new HashMap<>();
  final Map<String, String> explainPages = new HashMap<>();
  Runnable onPause = () -> {};

  private final Path directory;
  private final AtomicLong now = new AtomicLong();
  private final AtomicLong ids = new AtomicLong();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  Harness(Path directory) throws IOException {
    this.directory = directory;
    write(
        "site.ini",
        "[log]\nurl = http://127.0.0.1:7000\n[controls]\n"
            + "admin_addresses = 10.0.0.1:7100, 10.0.1.1:7100\n");
  }

  Path write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  /** Runs a command; SITE and DIR stand for the settings file and the directory. */
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

  /** Returns what the last command printed. */
  String printed() {
    return out.toString(StandardCharsets.UTF_8).replace(directory.toString(), "DIR");
  }

  @Override
  public Answer<StatusPage> status(String address) {
    return answer(address, statusPages, StatusPage.class);
  }

  @Override
  public Answer<ExplainPage> explain(String address, String model) {
    return answer(address, explainPages, ExplainPage.class);
  }

  private static <T> Answer<T> answer(String address, Map<String, String> pages, Class<T> type) {
    String page = pages.get(address);
    if (page == null) {
      return Answer.none(address, "connection refused");
    }
    try {
      return Answer.of(address, Json.decode(page.getBytes(StandardCharsets.UTF_8), type));
    } catch (IOException e) {
      throw new IllegalArgumentException(e);
    }
  }
}
