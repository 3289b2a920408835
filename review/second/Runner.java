import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a runner. As an engine it holds models and adapters and takes orders; it does not
 * check fencing tokens unless told so. An adapter that a request uses is unloaded when its runs
 * have ended (202), another one at once (200).
 */
final class Runner {
  private static final long BEAT_MS = 1_200;
  private static final long MODEL_LOAD_MS = 400;
  private static final long ADAPTER_LOAD_MS = 7;

  final String id;
  final String service;
  final String zone;
  private final Record record;
  private final Store store;
  private final Http.Server server;
  private final int slots;
  private final int adapterSlots;
  private final boolean fencing;
  private final long bornMs = System.currentTimeMillis();
  private final Map<String, TreeSet<String>> models = new TreeMap<>();
  private final Map<String, Integer> runs = new TreeMap<>();
  private final TreeSet<String> unloading = new TreeSet<>();
  private final AtomicInteger running = new AtomicInteger();
  private final List<Order> orders = new ArrayList<>();
  private final List<Run> arrivals = new ArrayList<>();
  private final List<Long> deadlyArrivals = new ArrayList<>();
  private int seq;
  private int beats;
  private long highestFence;
  private long busyUntilMs;
  private String state = "ready";
  private volatile boolean registered = true;
  private volatile int eventCount = 10;
  private volatile long eventGapMs = 40;
  private volatile String deadlyPart;
  private volatile Runnable crashListener;

  /** An order that has arrived. */
  record Order(long ms, String holder, long fence, String op, String what, int status) {}

  /** A request that has arrived and was run. */
  record Run(long ms, String requestId) {}

  Runner(
      Record record,
      Store store,
      String id,
      String service,
      String zone,
      int slots,
      int adapterSlots,
      boolean fencing,
      List<String> held)
      throws IOException {
    this.record = record;
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.adapterSlots = adapterSlots;
    this.fencing = fencing;
    held.forEach(m -> models.put(m, new TreeSet<>()));
    this.server = new Http.Server(0, this::handle);
    Http.daemon(this::beatAll);
  }

  /** Sets how long a stream is. */
  void setStream(int events, long gapMs) {
    eventCount = events;
    eventGapMs = gapMs;
  }

  /** From now on, it crashes as it begins to write an answer on a part of a prompt. */
  void crashOn(String part, Runnable listener) {
    crashListener = listener;
    deadlyPart = part;
  }

  /** Ends without a word; its entry is removed after three intervals of silence. */
  private void crash() throws IOException {
    synchronized (this) {
      if (!registered) {
        return;
      }
      registered = false;
    }
    server.close();
    Http.daemon(
        () -> {
          Store.pause(3 * BEAT_MS);
          store.write("keyed.servers", id, new byte[0]);
        });
    crashListener.run();
  }

  private void beatAll() {
    int era = store.era();
    while (registered) {
      beat();
      for (long waited = 0; waited < BEAT_MS && registered; waited += 50) {
        Store.pause(50);
        if (store.era() != era) {
          // What it wrote before is written again.
          era = store.era();
          break;
        }
      }
    }
  }

  private synchronized void beat() {
    if (!registered) {
      return;
    }
    beats++;
    String entry =
        "{\"service\":\"" + service + "\",\"addr\":\"127.0.0.1:" + server.port()
            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"cold_left_ms\":0,\"born\":" + bornMs
            + ",\"models\":" + modelsJson() + ",\"seq\":" + beats + "}";
    store.write("keyed.servers", id, entry.getBytes(StandardCharsets.UTF_8));
  }

  /** Its entry is removed, without a report that it drains; it goes on serving. */
  long removeEntry() {
    synchronized (this) {
      registered = false;
    }
    return store.write("keyed.servers", id, new byte[0]);
  }

  private String modelsJson() {
    List<String> list = new ArrayList<>();
    models.forEach(
        (m, adapters) ->
            list.add(
                "{\"name\":\"" + m + "\",\"version\":1,\"adapters\":["
                    + String.join(",", adapters.stream().map(a -> "\"" + a + "\"").toList())
                    + "]}"));
    return "[" + String.join(",", list) + "]";
  }

  synchronized List<Order> orders() {
    return List.copyOf(orders);
  }

  synchronized List<Run> arrivals() {
    return List.copyOf(arrivals);
  }

  /** Returns when requests that crash it have arrived. */
  synchronized List<Long> deadlyArrivals() {
    return List.copyOf(deadlyArrivals);
  }

  private boolean handle(Http.Message m, Socket connection, OutputStream out) throws IOException {
    Map<String, String> h = new LinkedHashMap<>();
    h.put("X-Kumquatspindle-Instance-Id", id);
    String expected = m.header("X-Kumquatspindle-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      out.write(Http.response(421, h, new byte[0]));
      return true;
    }
    String body = new String(m.body, StandardCharsets.UTF_8);
    switch (m.path()) {
      case "/healthz" -> out.write(Http.response(200, h, new byte[0]));
      case "/report" -> {
        h.put("Content-Type", "application/json");
        out.write(Http.response(200, h, report().getBytes(StandardCharsets.UTF_8)));
      }
      case "/order" -> {
        int status = order(body);
        out.write(Http.response(status, h, new byte[0]));
      }
      default -> {
        return run(m, out, h);
      }
    }
    return true;
  }

  private synchronized String report() {
    return "{\"stage\":\"mixed\",\"models\":" + modelsJson() + ",\"busy\":"
        + (record.nowMs() < busyUntilMs) + ",\"seq\":" + seq + ",\"queued\":0,\"running\":"
        + running.get() + ",\"kv_used\":1000,\"kv_total\":232000,\"handles\":0}";
  }

  private synchronized int order(String body) {
    String op = Http.field(body, "op");
    String model = Http.field(body, "model");
    String adapter = Http.field(body, "adapter");
    String holder = Http.field(body, "holder");
    long fence = Long.parseLong(Http.field(body, "fence"));
    String expected = Http.field(body, "expect_rev");
    int status = carryOut(op, model, adapter, fence, expected);
    String what = adapter == null ? model : model + "/" + adapter;
    orders.add(new Order(record.nowMs(), holder, fence, op, what, status));
    record.line(
        "runner " + id + " order " + op + " " + what + " holder " + holder + " fence " + fence
            + " expect_rev " + expected + " -> " + status);
    return status;
  }

  private int carryOut(String op, String model, String adapter, long fence, String expected) {
    if (fencing && fence < highestFence) {
      return 412;
    }
    highestFence = Math.max(highestFence, fence);
    boolean load = op.equals("load");
    TreeSet<String> adapters = models.get(model);
    boolean held = adapters != null && (adapter == null || adapters.contains(adapter));
    if (record.nowMs() < busyUntilMs || !unloading.isEmpty()) {
      // It carries out one order at a time.
      return 409;
    }
    if (load && held) {
      return 200;
    }
    if (expected != null && Integer.parseInt(expected) != seq) {
      return 409;
    }
    if (!load && !held) {
      return 200;
    }
    seq++;
    if (adapter != null) {
      return load ? loadAdapter(model, adapter) : unloadAdapter(model, adapter);
    }
    if (load) {
      busyUntilMs = record.nowMs() + MODEL_LOAD_MS;
      Http.daemon(
          () -> {
            Store.pause(MODEL_LOAD_MS);
            synchronized (this) {
              models.put(model, new TreeSet<>());
            }
          });
    } else {
      models.remove(model);
    }
    return 202;
  }

  private int loadAdapter(String model, String adapter) {
    int held = models.values().stream().mapToInt(TreeSet::size).sum();
    if (held + 1 > adapterSlots) {
      record.line(
          "OVERFLOW runner " + id + " is ordered to load " + model + "/" + adapter + " though its "
              + adapterSlots + " places are taken: " + models + ", still in use and unloading: "
              + unloading);
    }
    models.get(model).add(adapter);
    Store.pause(ADAPTER_LOAD_MS);
    return 202;
  }

  /** An adapter in use goes when its runs have ended. */
  private int unloadAdapter(String model, String adapter) {
    String key = model + "/" + adapter;
    if (runs.getOrDefault(key, 0) > 0) {
      unloading.add(key);
      record.line("runner " + id + " " + key + " is in use, and goes when its runs have ended");
      return 202;
    }
    models.get(model).remove(adapter);
    return 200;
  }

  private boolean run(Http.Message m, OutputStream out, Map<String, String> h) throws IOException {
    String requestId = m.header("X-Kumquatspindle-Request-Id");
    h.put("X-Kumquatspindle-Request-Id", requestId);
    h.put("Content-Type", "text/event-stream");
    String model = m.header("X-Kumquatspindle-Model");
    String key = null;
    synchronized (this) {
      if (model != null) {
        int slash = model.indexOf('/');
        String name = slash < 0 ? model : model.substring(0, slash);
        String adapter = slash < 0 ? null : model.substring(slash + 1);
        TreeSet<String> adapters = models.get(name);
        if (adapters == null || (adapter != null && !adapters.contains(adapter))) {
          out.write(Http.response(421, h, new byte[0]));
          return true;
        }
        key = model;
        if (unloading.contains(key)) {
          // Requests that an order concerns and that have not started wait for its end.
          h.put("X-Kumquatspindle-Not-Executed", "1");
          out.write(Http.response(503, h, new byte[0]));
          return true;
        }
        runs.merge(key, 1, Integer::sum);
      }
      arrivals.add(new Run(record.nowMs(), requestId));
    }
    record.line("runner " + id + " runs " + requestId + (key == null ? "" : " on " + key));
    String prefix = m.header("X-Kumquatspindle-Prefix-Hash");
    if (deadlyPart != null && prefix != null && prefix.contains(deadlyPart + ":")) {
      synchronized (this) {
        deadlyArrivals.add(record.nowMs());
      }
      Store.pause(eventGapMs);
      record.line("runner " + id + " begins to write the answer to " + requestId + " and crashes");
      String head =
          "HTTP/1.1 200 OK\r\nX-Kumquatspindle-Request-Id: " + requestId
              + "\r\nX-Kumquatspindle-Runner-Seal: seal." + id
              + "\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n";
      int written = "complete".equals(System.getenv("HEAD")) ? head.length() : 40;
      out.write(head.substring(0, written).getBytes(StandardCharsets.US_ASCII));
      out.flush();
      Store.pause(2);
      crash();
      return false;
    }
    int now = running.incrementAndGet();
    h.put("X-Kumquatspindle-Runner-Seal", "seal." + id + "." + requestId);
    h.put("Keep-Alive", "timeout=10");
    h.put("X-Kumquatspindle-Runner-Load", now + ",0," + slots);
    try {
      stream(out, h);
    } finally {
      running.decrementAndGet();
      ended(key);
    }
    return true;
  }

  private void stream(OutputStream out, Map<String, String> h) throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
    h.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
    head.append("Transfer-Encoding: chunked\r\n\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    for (int i = 1; i <= eventCount; i++) {
      Store.pause(eventGapMs);
      String event = "id: " + i + "\ndata: word" + i + "\n\n";
      out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
      out.flush();
    }
    out.write("0\r\n\r\n".getBytes());
  }

  private synchronized void ended(String key) {
    if (key == null) {
      return;
    }
    int left = runs.merge(key, -1, Integer::sum);
    if (left == 0 && unloading.remove(key)) {
      int slash = key.indexOf('/');
      models.get(key.substring(0, slash)).remove(key.substring(slash + 1));
      record.line("runner " + id + " has unloaded " + key);
    }
  }
}
