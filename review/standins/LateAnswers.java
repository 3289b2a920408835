import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A runner sends the answer to an order or a report a second time, late, where its next answer on
 * that connection is expected. The VM must not order it to load more adapters than it holds.
 */
final class LateAnswers {
  private static final int SECONDS = 45;
  private static final int SLOTS = 8;
  private static final int MODELS = 6;
  private static final int ADAPTERS = 30;
  private static final int TRANSIT_MS = 10;

  /** Models with adapters come first; each runner has room for five models. */
  private static final int ALL_MODELS = 48;

  private static final int ROOM = 5;
  private static final int LOAD_MS = 280;
  private static final int INTERVAL_MS = 25;

  /** One answer in 34 is sent twice, under x = 0.03 of garble. */
  private static final int DOUBLED_EVERY = 34;

  private final Deployment d;
  private final String id;
  private final boolean faulty;
  private final Map<String, Set<String>> adapters = new LinkedHashMap<>();
  private final Set<String> pending = new LinkedHashSet<>();
  private final ThreadLocal<byte[]> late = new ThreadLocal<>();
  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger doubled = new AtomicInteger();
  private Runner runner;
  private String loading = "";
  private long seq;
  private int orders;
  private int over;

  private LateAnswers(Deployment d, String id, boolean faulty, int first) {
    this.d = d;
    this.id = id;
    this.faulty = faulty;
    for (int i = 0; i < ROOM; i++) {
      adapters.put("m" + (i < 3 ? first + i : 10 + 2 * first + i), new LinkedHashSet<>());
    }
  }

  private synchronized String modelsText() {
    List<String> models = new ArrayList<>();
    adapters.forEach((model, names) -> {
      List<String> quoted = new ArrayList<>();
      names.forEach(n -> quoted.add("\"" + n + "\""));
      models.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":["
          + String.join(",", quoted) + "]}");
    });
    return String.join(",", models);
  }

  private void beat() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < ALL_MODELS; i++) {
      names.add("\"m" + i + "\"");
    }
    String entry = runner.entry("llm", Deployment.ZONE, 128, modelsText()).strip();
    d.store.put("keyed.servers", id, entry.substring(0, entry.length() - 1)
        + ",\"available\":{\"in_memory\":[" + String.join(",", names) + "],\"on_disk\":["
        + String.join(",", names) + "]}}");
  }

  private boolean answer(Http.Message q, Socket s, InputStream in, OutputStream out)
      throws IOException, InterruptedException {
    String path = q.line.split(" ")[1];
    if (path.equals("/order")) {
      return json(out, order(q.text()), "{}");
    }
    if (path.equals("/report")) {
      String body;
      synchronized (this) {
        body = "{\"stage\":\"mixed\",\"models\":[" + modelsText() + "],\"busy\":"
            + !loading.isEmpty() + ",\"seq\":" + seq + ",\"queued\":0,\"running\":0}";
      }
      return json(out, 200, body);
    }
    String[] wanted = q.header("X-Kumquatspindle-Model").split("/");
    boolean held;
    synchronized (this) {
      held = adapters.containsKey(wanted[0])
          && (wanted.length == 1 || adapters.get(wanted[0]).contains(wanted[1]));
    }
    if (!held) {
      out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"));
      return true;
    }
    return Runner.stream(q, out, 4, 20);
  }

  /** Answers a call, after the second copy of an earlier answer if one is left. */
  private boolean json(OutputStream out, int status, String body) throws IOException {
    byte[] answer = Http.bytes("HTTP/1.1 " + status + " Done\r\nContent-Type: application/json\r\n"
        + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    if (late.get() != null) {
      out.write(late.get());
      out.flush();
      late.remove();
      d.record.line("runner " + id + " sends an earlier answer again");
      doubled.incrementAndGet();
    }
    out.write(answer);
    out.flush();
    if (faulty && d.trouble && answers.incrementAndGet() % DOUBLED_EVERY == 0) {
      late.set(answer);
    }
    return true;
  }

  private synchronized int count() {
    return pending.size() + adapters.values().stream().mapToInt(Set::size).sum();
  }

  private synchronized int order(String body) {
    String op = text(body, "op");
    String model = text(body, "model");
    String adapter = text(body, "adapter");
    Set<String> held = adapters.get(model);
    String key = model + "/" + adapter;
    boolean load = op.equals("load");
    boolean present = held != null
        && (adapter.isEmpty() || held.contains(adapter) || pending.contains(key));
    int status;
    orders++;
    if (present == load) {
      status = 200;
    } else if (!loading.isEmpty() || Long.parseLong(text(body, "expect_rev")) != seq) {
      status = 409;
    } else if (held == null && !adapter.isEmpty()) {
      status = 400;
    } else {
      seq++;
      status = load || adapter.isEmpty() ? 202 : 200;
      if (adapter.isEmpty() && load) {
        loading = model;
        thread(() -> arrive(model, adapter));
      } else if (adapter.isEmpty()) {
        adapters.remove(model);
      } else if (load) {
        pending.add(key);
        thread(() -> arrive(model, adapter));
      } else {
        held.remove(adapter);
      }
    }
    d.record.line("order at " + id + ": " + op + " " + key + " expect_rev "
        + text(body, "expect_rev") + " answered " + status + ", seq " + seq + ", adapters "
        + count());
    int models = adapters.size() + (loading.isEmpty() ? 0 : 1);
    if (load && status == 202 && (count() > SLOTS || models > ROOM)) {
      over++;
      d.record.line("runner " + id + " is ordered to load " + count() + " adapters and " + models
          + " models, has room for " + SLOTS + " and " + ROOM);
    }
    return status;
  }

  private void arrive(String model, String adapter) {
    try {
      Thread.sleep(adapter.isEmpty() ? LOAD_MS : TRANSIT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    synchronized (this) {
      if (adapter.isEmpty()) {
        loading = "";
        adapters.put(model, new LinkedHashSet<>());
      } else if (pending.remove(model + "/" + adapter) && adapters.containsKey(model)) {
        adapters.get(model).add(adapter);
      }
    }
  }

  private static String text(String json, String name) {
    Matcher m = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
    return m.find() ? m.group(1) : "";
  }

  public static void main(String[] args) throws Exception {
    int result = 2;
    try (Deployment d = new Deployment(args[0])) {
      result = run(d);
    } catch (Exception e) {
      e.printStackTrace();
    } finally {
      System.out.println(result == 1 ? "broken" : result == 0 ? "held" : "could not run");
      System.exit(result);
    }
  }

  private static int run(Deployment d) throws Exception {
    List<String> models = new ArrayList<>();
    for (int i = 0; i < ALL_MODELS; i++) {
      models.add("{\"name\":\"m" + i + "\",\"weights_mb\":34300,\"load_s\":6,\"warm_s\":0.28,"
          + "\"disk_s\":0.52,\"adapters\":" + (i < MODELS ? ADAPTERS : 0) + ",\"adapter_size_mb\":40}");
    }
    d.configure(1, "", String.join(",", models));
    // Half of the runners hand out wrong bytes, under share = 0.6 of garble.
    List<LateAnswers> runners =
        List.of(new LateAnswers(d, "i-0", true, 0), new LateAnswers(d, "i-1", false, 3));
    for (LateAnswers r : runners) {
      r.runner = d.addRunner(r.id, "llm", 128, r.modelsText(), r::answer);
      r.beat();
    }
    Thread beats = thread(() -> {
      try {
        while (true) {
          Thread.sleep(1_200);
          runners.forEach(LateAnswers::beat);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    d.node.start();
    d.node.awaitReady(20_000);
    Random random = new Random(1);
    AtomicInteger ok = new AtomicInteger();
    long end = System.currentTimeMillis() + SECONDS * 1_000L;
    for (int i = 0; System.currentTimeMillis() < end; i++) {
      String model = i % 4 == 3
          ? "m" + (MODELS + random.nextInt(ALL_MODELS - MODELS))
          : "m" + random.nextInt(MODELS) + "/a" + (1 + random.nextInt(ADAPTERS));
      int session = i;
      thread(() -> {
        String id = d.newId();
        Http.Message m = d.draft(id, model, session);
        ok.addAndGet(m.status() == 200 ? 1 : 0);
        d.record.line("draft " + id + " " + model + ": " + m.status() + " " + m.end);
      });
      Thread.sleep(INTERVAL_MS);
    }
    beats.interrupt();
    LateAnswers faulty = runners.get(0);
    String summary = "i-0: " + faulty.orders + " orders, " + faulty.doubled
        + " answers twice, over its room " + faulty.over + " times; i-1: "
        + runners.get(1).orders + " orders, over " + runners.get(1).over + " times; " + ok
        + " streams served";
    d.record.line(summary);
    System.out.println(summary);
    if (faulty.orders == 0 || d.trouble && faulty.doubled.get() == 0) {
      return 2;
    }
    return faulty.over + runners.get(1).over > 0 ? 1 : 0;
  }

  private static Thread thread(Runnable task) {
    Thread t = new Thread(null, task, "caller", 256 * 1024);
    t.setDaemon(true);
    t.start();
    return t;
  }
}
