import java.io.IOException;
import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A VM: the node program as a process of its own, with the command of the deploy file. */
final class Vm {
  private static final List<Process> STARTED = Collections.synchronizedList(new ArrayList<>());

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
  }

  final String name;
  final int callerPort;
  private final int readyPort;
  private final Path repository;
  private final Path settings;
  private final Path log;
  private final Record record;
  private Process process;

  /** Renders the project's template of settings with the fields of a machine. */
  Vm(
      Record record,
      Path repository,
      Path folder,
      String name,
      String zone,
      List<String> zones,
      int storePort,
      Map<String, String> bounds)
      throws IOException {
    this.record = record;
    this.repository = repository;
    this.name = name;
    this.callerPort = Http.freePort();
    this.readyPort = Http.freePort();
    int peerPort = Http.freePort();
    int metricsPort = Http.freePort();
    this.settings = folder.resolve(name + ".ini");
    this.log = folder.resolve(name + ".log");
    Map<String, String> fields = new TreeMap<>(bounds);
    fields.put("node", name);
    fields.put("ip", "127.0.0.1");
    fields.put("zone", zone);
    fields.put("bootstrap", "true");
    fields.put("listen.front", "127.0.0.1:" + callerPort);
    fields.put("listen.ready", "127.0.0.1:" + readyPort);
    fields.put("port_range.0", String.valueOf(peerPort));
    fields.put("limits.max_fds", "4100");
    fields.put("platform.addr", "127.0.0.1:" + storePort);
    fields.put("platform.parts", "8");
    fields.put("platform.ttl_min_ms", "1000");
    String text = Files.readString(repository.resolve("platform/node.ini"));
    text = text.replace("{{#zones}}{{@}}{{,}}{{/zones}}", String.join(",", zones));
    text =
        text.replace(
            "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}",
            String.join(",", zones.stream().map(z -> z + ":region").toList()));
    Matcher m = Pattern.compile("\\{\\{([a-z_.0-9]+)\\}\\}").matcher(text);
    StringBuilder rendered = new StringBuilder();
    while (m.find()) {
      m.appendReplacement(rendered, fields.getOrDefault(m.group(1), ""));
    }
    m.appendTail(rendered);
    Files.writeString(
        settings,
        rendered.toString().replaceAll("metrics_port = [0-9]+", "metrics_port = " + metricsPort));
  }

  void start() throws IOException {
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher m = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deploy);
    if (!m.find()) {
      throw new IOException("no run command in the deploy file");
    }
    ProcessBuilder b = new ProcessBuilder(m.group(1).split(" "));
    Map<String, String> environment = b.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("KUMQUATSPINDLE_NODE_FILE", settings.toString());
    b.directory(repository.toFile());
    b.redirectErrorStream(true);
    b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    b.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
    process = b.start();
    STARTED.add(process);
    record.line("vm " + name + " started");
  }

  boolean running() {
    return process.isAlive();
  }

  void kill() {
    record.line("vm " + name + " SIGKILL");
    process.destroyForcibly();
  }

  void terminate() {
    record.line("vm " + name + " SIGTERM");
    process.destroy();
  }

  boolean awaitEnd(long ms) throws InterruptedException {
    boolean ended = process.waitFor(ms, TimeUnit.MILLISECONDS);
    record.line("vm " + name + (ended ? " has ended" : " is still running"));
    return ended;
  }

  boolean ready() {
    try {
      return Caller.get(readyPort, "/readyz", Map.of(), 500).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(long ms) {
    long until = record.nowMs() + ms;
    while (record.nowMs() < until) {
      if (ready()) {
        record.line("vm " + name + " ready");
        return true;
      }
      Store.pause(50);
    }
    return false;
  }

  String log() throws IOException {
    return Files.exists(log) ? Files.readString(log, StandardCharsets.UTF_8) : "";
  }
}
