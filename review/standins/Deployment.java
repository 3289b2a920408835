import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small deployment: one VM, two model runners and one runner of a plain service, with the routes,
 * times and limits of a small site.
 */
final class Deployment implements AutoCloseable {
  static final String ZONE = "zone-a";
  static final String HOST = "site.example";
  static final String KEY = "key-of-customer";

  /** Timeouts of the routes in ms, as on the site file lotsnet. */
  static final int STATUS_TIMEOUT_MS = 1_200;

  static final int DRAFT_TIMEOUT_MS = 6_000;

  final Store store = new Store();
  final Recorder record;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Map<String, Runner> runners = new LinkedHashMap<>();
  private final Path directory;
  private final List<Node> nodes = new ArrayList<>();
  private final AtomicInteger ids = new AtomicInteger();
  final Node node;

  Deployment(String recordFile) throws IOException {
    record = new Recorder(Path.of(recordFile));
    directory = Files.createTempDirectory("review");
    node = newNode("vm-1", true);
  }

  /** Returns one more VM, which has not been started; closed with the deployment. */
  Node newNode(String name, boolean fencing) throws IOException {
    Node n = new Node(name, ZONE, ZONE, fencing, store, directory);
    nodes.add(n);
    return n;
  }

  /** Writes the configuration with a version and the extra routes of that version. */
  void configure(int version, String extraRoutes) {
    configure(
        version,
        extraRoutes,
        """
        {"name":"alpha","weights_mb":34300,"load_s":6,"adapters":0,"adapter_size_mb":40},
        {"name":"beta","weights_mb":34300,"load_s":6,"adapters":0,"adapter_size_mb":40}""");
  }

  /** Does the same with the models of the runners. */
  void configure(int version, String extraRoutes, String models) {
    store.put(
        "keyed.op",
        "config",
        """
        {"version":%d,"routes":[
          {"name":"draft","host":"site.example","prefix":"/draft/","type":"streaming",
           "timeout_ms":6000,"goal_ms":300,"gap_goal_ms":300,"prio":0,"service":"llm",
           "attempts":1,"resumable":false},
          {"name":"status","host":"site.example","prefix":"/status/","type":"idempotent",
           "timeout_ms":1200,"goal_ms":150,"prio":2,"service":"app","attempts":2},
          {"name":"book","host":"site.example","prefix":"/book/","type":"non_idempotent",
           "timeout_ms":1200,"goal_ms":150,"prio":2,"service":"app","attempts":1}%s],
         "services":[
          {"name":"llm","engine":{"slots":128,"kv_cap":232000,"weights_mb":200000,"lora_slots":8,
           "loads_per_s":3.9,"models":[%s]}},
          {"name":"app"}],
         "limits":{"max_header_bytes":32768,"max_body_bytes":4194304,"header_timeout_ms":5000,
          "idle_timeout_ms":30000},
         "tenants":[{"name":"customer","api_keys":["%s"],"unit":"tokens","plain_tokens":1,
          "rate_per_s":100000000,"burst":100000000}]}
        """
            .formatted(version, extraRoutes, models, KEY));
    record.line("configuration " + version + " acknowledged");
  }

  Runner addRunner(String id, String service, int slots, String models, Runner.Handler handler)
      throws IOException {
    Runner r = new Runner(id, handler);
    runners.put(id, r);
    store.put("keyed.servers", id, r.entry(service, ZONE, slots, models));
    return r;
  }

  static String model(String name) {
    return "{\"name\":\"" + name + "\",\"version\":1,\"adapters\":[]}";
  }


  String newId() {
    return "%016x".formatted(0x1000 + ids.incrementAndGet());
  }

  /** Returns the head of a request with a body of the given length. */
  static String head(String method, String path, String id, int deadlineMs, String more, int body) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + HOST
        + "\r\nX-Kumquatspindle-Request-Id: " + id
        + "\r\nX-Kumquatspindle-Deadline-Ms: " + deadlineMs
        + "\r\nAuthorization: Bearer " + KEY + "\r\n" + more
        + (body > 0 ? "Content-Length: " + body + "\r\n" : "") + "\r\n";
  }

  Http.Message status(String id) {
    return Http.call(
        node.front, head("GET", "/status/x", id, 2_500, "", 0), new byte[0], 2_500);
  }

  Http.Message book(String id) {
    byte[] body = new byte[600];
    return Http.call(
        node.front, head("POST", "/book/x", id, 2_500, "", body.length), body, 2_500);
  }

  Http.Message draft(String id, String model, int session) {
    byte[] body = new byte[1_300];
    String more =
        "X-Kumquatspindle-Model: " + model
            + "\r\nX-Kumquatspindle-Token-Count: 600,40\r\nX-Kumquatspindle-Prefix-Hash: 5c1e07a2:155,"
            + Integer.toHexString(0x10000 + session) + ":445\r\n";
    return Http.call(
        node.front, head("POST", "/draft/x", id, 6_000, more, body.length), body, 6_500);
  }

  @Override
  public void close() throws IOException {
    nodes.forEach(Node::close);
    store.close();
    for (Runner r : runners.values()) {
      r.close();
    }
    record.close();
    if (System.getenv("KEEP") != null) {
      System.err.println("kept " + directory);
      return;
    }
    try (var files = Files.walk(directory)) {
      for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(p);
      }
    }
  }
}
