import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One VM: the program of the deploy file, as a process of its own. */
final class Node implements AutoCloseable {
  private static final Path ROOT = Path.of(System.getProperty("review.root"));

  /** Ports that this script has given to a VM. */
  private static final Set<Integer> TAKEN = new HashSet<>();

  final String name;
  final String front;
  final String ready;
  final Path log;
  private final Path settings;
  private final Path directory;
  private Process process;

  Node(String name, String zone, String zones, boolean fencing, Store store, Path directory)
      throws IOException {
    this.name = name;
    this.directory = directory;
    front = "127.0.0.1:" + freePort();
    ready = "127.0.0.1:" + freePort();
    log = directory.resolve(name + ".log");
    settings = directory.resolve(name + ".ini");
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("{{node}}", name),
            Map.entry("{{ip}}", "127.0.0.1"),
            Map.entry("{{zone}}", zone),
            Map.entry("{{#zones}}{{@}}{{,}}{{/zones}}", zones),
            Map.entry("{{bootstrap}}", "true"),
            Map.entry("{{listen.front}}", front),
            Map.entry("{{listen.ready}}", ready),
            Map.entry("{{port_range.0}}", Integer.toString(freePort())),
            Map.entry("{{platform.addr}}", store.address()),
            Map.entry("{{platform.parts}}", "8"),
            Map.entry("{{platform.ttl_min_ms}}", "1000"),
            Map.entry("{{bounds.config_ms}}", "2000"),
            Map.entry("{{bounds.drain_ms}}", "2000"),
            Map.entry("{{bounds.fencing}}", Boolean.toString(fencing)),
            Map.entry("{{bounds.lease_ms}}", "3000"),
            Map.entry("{{bounds.budget_window_s}}", "10"),
            Map.entry("{{bounds.budget_ratio}}", "0.2"),
            Map.entry("{{bounds.budget_extra}}", "54"),
            Map.entry("{{bounds.grace_s}}", "8"),
            Map.entry("metrics_port = 7601", "metrics_port = " + freePort()));
    String text = Files.readString(ROOT.resolve("platform/node.ini"));
    for (Map.Entry<String, String> e : values.entrySet()) {
      text = text.replace(e.getKey(), e.getValue());
    }
    if (text.contains("{{")) {
      throw new IOException("unknown placeholder in the settings template");
    }
    Files.writeString(settings, text);
  }

  /** Finds a free port below the kernel's ephemeral range. */
  private static synchronized int freePort() throws IOException {
    for (int tries = 0; tries < 100; tries++) {
      int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
      if (!TAKEN.add(port)) {
        continue;
      }
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return s.getLocalPort();
      } catch (BindException e) {
        continue;
      }
    }
    throw new IOException("no free port");
  }

  /** Starts the process with the command of the deploy file. */
  void start() throws IOException {
    String deploy = Files.readString(ROOT.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no command in the deploy file");
    }
    ProcessBuilder b = new ProcessBuilder(List.of(run.group(1).split(" ")));
    b.directory(ROOT.toFile());
    b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    b.environment().put("KUMQUATSPINDLE_NODE_FILE", settings.toString());
    b.environment().put("TMPDIR", directory.toString());
    b.redirectErrorStream(true);
    b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    b.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
    process = b.start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  /** Waits until the program says that it is ready. */
  void awaitReady(int timeoutMs) throws IOException, InterruptedException {
    long end = System.currentTimeMillis() + timeoutMs;
    while (readiness(500) != 200) {
      if (!process.isAlive() || System.currentTimeMillis() > end) {
        System.err.println(Files.readString(log, java.nio.charset.StandardCharsets.ISO_8859_1));
        throw new IOException("the program did not get ready");
      }
      Thread.sleep(50);
    }
  }

  int readiness(int timeoutMs) {
    return Http.call(ready, "GET /readyz HTTP/1.1\r\nHost: " + ready + "\r\n\r\n", new byte[0],
            timeoutMs)
        .status();
  }

  /** Kills the process at once. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  boolean alive() {
    return process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  /** Counts the lines of the log that hold a text. */
  long logged(String text) throws IOException {
    try (var lines = Files.lines(log, java.nio.charset.StandardCharsets.ISO_8859_1)) {
      return lines.filter(l -> l.contains(text)).count();
    }
  }

  @Override
  public void close() {
    if (process != null && process.isAlive()) {
      process.destroyForcibly();
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
