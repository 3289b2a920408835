import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment: the store, runners and VMs, and what a case needs to judge it. */
final class Site {
  static final String HOST = "callers.example";
  static final String KEY = "key-of-the-one-tenant";
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  final Record record;
  final Store store;
  final List<Vm> vms = new ArrayList<>();
  final List<Runner> runners = new ArrayList<>();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path repository;
  private final Path folder;
  private final AtomicLong ids = new AtomicLong();

  /** Arguments: the repository, the folder of the case, a temporary folder. */
  Site(String[] args) throws IOException {
    repository = Path.of(args[0]);
    folder = Path.of(args[2]);
    record = new Record(Path.of(args[1]).resolve("record.txt"));
    record.line("trouble " + trouble);
    store = new Store(record);
  }

  /** The bounds of a site, by their names in the template of settings. */
  static Map<String, String> bounds(boolean fencing, int extra) {
    Map<String, String> b = new TreeMap<>();
    b.put("bounds.config_ms", "2000");
    b.put("bounds.drain_ms", "2000");
    b.put("bounds.fencing", String.valueOf(fencing));
    b.put("bounds.lease_ms", "3000");
    b.put("bounds.budget_window_s", "10");
    b.put("bounds.budget_ratio", "0.2");
    b.put("bounds.budget_extra", String.valueOf(extra));
    b.put("bounds.grace_s", "8");
    return b;
  }

  Vm addVm(String name, String zone, Map<String, String> bounds) throws IOException {
    Vm v = new Vm(record, repository, folder, name, zone, List.of(zone), store.port(), bounds);
    vms.add(v);
    return v;
  }

  /** Writes a configuration with one tenant. */
  void configure(long version, Map<String, String> routes, List<String> services) {
    configure(version, routes, services, Map.of("tenant-1", KEY));
  }

  /** Writes a configuration; each tenant has one key, or none if it is empty. */
  void configure(
      long version, Map<String, String> routes, List<String> services, Map<String, String> keys) {
    List<String> list = new ArrayList<>();
    routes.forEach(
        (prefix, fields) ->
            list.add(
                "{\"name\":\"r" + prefix.replace("/", "") + "\",\"host\":\"" + HOST
                    + "\",\"prefix\":\"" + prefix + "\"," + fields + "}"));
    List<String> tenants = new ArrayList<>();
    keys.forEach(
        (name, key) ->
            tenants.add(
                "{\"name\":\"" + name + "\",\"api_keys\":["
                    + (key.isEmpty() ? "" : "\"" + key + "\"")
                    + "],\"unit\":\"tokens\",\"plain_tokens\":500,\"rate_per_s\":0,\"burst\":0}"));
    String text =
        "{\"version\":" + version + ",\"routes\":[" + String.join(",", list) + "],\"services\":["
            + String.join(",", services) + "],\"tenants\":[" + String.join(",", tenants) + "],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
            + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}";
    long offset =
        store.write("keyed.op", "config", text.getBytes(StandardCharsets.UTF_8));
    record.line("operator writes version " + version + ", offset " + offset);
  }

  boolean startAll(long ms) throws IOException {
    for (Vm v : vms) {
      v.start();
    }
    for (Vm v : vms) {
      if (!v.awaitReady(ms)) {
        record.line("vm " + v.name + " is not ready in time");
        return false;
      }
    }
    return true;
  }

  /** Sends a request to a VM, and records it with its answer. */
  Caller.Answer call(Vm vm, String prefix, String model, String method, int deadlineMs) {
    return call(vm, prefix, model, method, deadlineMs, null);
  }

  /** Sends a request whose prompt has these shared parts, written as ID:TOKENS. */
  Caller.Answer call(
      Vm vm, String prefix, String model, String method, int deadlineMs, String sharedParts) {
    String id = String.format("%016x", ids.incrementAndGet());
    Map<String, String> h = new LinkedHashMap<>();
    h.put("Host", HOST);
    h.put("X-Kumquatspindle-Request-Id", id);
    h.put("X-Kumquatspindle-Deadline-Ms", String.valueOf(deadlineMs));
    h.put("Authorization", "Bearer " + KEY);
    if (model != null) {
      h.put("X-Kumquatspindle-Model", model);
      h.put("X-Kumquatspindle-Token-Count", "200,40");
      h.put("X-Kumquatspindle-Prefix-Hash", "5c1e07a2:100," + id.substring(8) + ":100");
    }
    if (sharedParts != null) {
      h.put("X-Kumquatspindle-Token-Count", "300,40");
      h.put("X-Kumquatspindle-Prefix-Hash", sharedParts + "," + id.substring(8) + ":100");
    }
    record.line("client sends " + id + " to " + vm.name + (model == null ? "" : " for " + model));
    try {
      Caller.Answer a = Caller.send(vm.callerPort, method, prefix + "x", h, deadlineMs);
      record.line("client gets " + a.status() + " for " + id + " from " + vm.name);
      return a;
    } catch (IOException e) {
      record.line("client gets no answer for " + id + " from " + vm.name + ": " + e.getMessage());
      return new Caller.Answer(0, "", Map.of());
    }
  }

  /** Sends a request with a key of its own, and records it with its answer. */
  Caller.Answer callWithKey(Vm vm, String prefix, String key, int deadlineMs) {
    String id = String.format("%016x", ids.incrementAndGet());
    Map<String, String> h = new LinkedHashMap<>();
    h.put("Host", HOST);
    h.put("X-Kumquatspindle-Request-Id", id);
    h.put("X-Kumquatspindle-Deadline-Ms", String.valueOf(deadlineMs));
    h.put("Authorization", "Bearer " + key);
    record.line("client sends " + id + " to " + vm.name + " with " + key);
    try {
      Caller.Answer a = Caller.get(vm.callerPort, prefix + "x", h, deadlineMs);
      record.line("client gets " + a.status() + " for " + id + " from " + vm.name);
      return a;
    } catch (IOException e) {
      record.line("client gets no answer for " + id + " from " + vm.name);
      return new Caller.Answer(0, "", Map.of());
    }
  }

  /** Ends the processes and this program with its verdict. */
  void end(int verdict, String reason) {
    record.line("verdict " + verdict + ": " + reason);
    System.out.println("verdict " + verdict + ": " + reason);
    System.exit(verdict);
  }
}
