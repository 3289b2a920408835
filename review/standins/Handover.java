import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Two VMs in one zone, with runners that don't check fencing numbers. The second VM starts while
 * the first orders runners, and is killed when it has got partitions. It must not order a runner
 * within lease_ms of the orders of the first.
 */
final class Handover {
  private static final int LEASE_MS = 3_000;
  private static final int RUNNERS = 6;
  private static final int MODELS = 48;
  private static final int MODEL_MB = 34_300;
  private static final int RUNNER_MB = 200_000;
  private static final int LOAD_MS = 280;
  private static final int RESTART_MS = 500;

  record Order(long ms, String runner, String holder, long fence, String op, String model) {}

  private static final List<Order> ORDERS = Collections.synchronizedList(new ArrayList<>());

  /** A runner with models, which takes orders of any fencing number. */
  private static final class ModelRunner implements Runner.Handler {
    private final Deployment d;
    private final String id;
    private final Set<String> models = new LinkedHashSet<>();
    private Runner runner;
    private long seq;
    private String loading = "";
    private long busyUntil;

    private ModelRunner(Deployment d, String id) {
      this.d = d;
      this.id = id;
    }

    private synchronized String modelsText() {
      List<String> list = new ArrayList<>();
      models.forEach(m -> list.add(Deployment.model(m)));
      return String.join(",", list);
    }

    private void beat() {
      List<String> names = new ArrayList<>();
      for (int i = 0; i < MODELS; i++) {
        names.add("\"m" + i + "\"");
      }
      String all = "[" + String.join(",", names) + "]";
      String entry = runner.entry("llm", Deployment.ZONE, 128, modelsText());
      int end = entry.lastIndexOf('}');
      d.store.put("keyed.servers", id,
          entry.substring(0, end) + ",\"available\":{\"in_memory\":" + all + ",\"on_disk\":" + all
              + "}}");
    }

    private synchronized void finishLoad() {
      if (!loading.isEmpty() && System.currentTimeMillis() >= busyUntil) {
        models.add(loading);
        loading = "";
        beat();
      }
    }

    @Override
    public boolean answer(Http.Message q, Socket s, InputStream in, OutputStream out)
        throws java.io.IOException, InterruptedException {
      finishLoad();
      String path = q.line.split(" ")[1];
      if (path.equals("/order")) {
        return json(out, order(q.text()), "{}");
      }
      if (path.equals("/report")) {
        synchronized (this) {
          return json(out, 200, "{\"stage\":\"mixed\",\"models\":[" + modelsText() + "],\"busy\":"
              + !loading.isEmpty() + ",\"seq\":" + seq + ",\"queued\":0,\"running\":0}");
        }
      }
      boolean held;
      synchronized (this) {
        held = models.contains(q.header("X-Kumquatspindle-Model"));
      }
      if (!held) {
        out.write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"));
        return true;
      }
      return Runner.stream(q, out, 4, 20);
    }

    private synchronized int order(String body) {
      String op = text(body, "op");
      String model = text(body, "model");
      String holder = text(body, "holder");
      long fence = Long.parseLong(text(body, "fence"));
      ORDERS.add(new Order(d.record.ms(), id, holder, fence, op, model));
      int status;
      if (op.equals("load") && models.contains(model)) {
        status = 200;
      } else if (!loading.isEmpty() || Long.parseLong(text(body, "expect_rev")) != seq) {
        status = 409;
      } else if (op.equals("load")) {
        seq++;
        loading = model;
        busyUntil = System.currentTimeMillis() + LOAD_MS;
        status = 202;
      } else {
        seq++;
        models.remove(model);
        beat();
        status = 202;
      }
      d.record.line("order at " + id + " by " + holder + " fence " + fence + " " + op + " " + model
          + ": " + status);
      return status;
    }

    private static boolean json(OutputStream out, int status, String body)
        throws java.io.IOException {
      out.write(Http.bytes("HTTP/1.1 " + status + " Done\r\nContent-Type: application/json\r\n"
          + "Content-Length: " + body.length() + "\r\n\r\n" + body));
      return true;
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
    for (int i = 0; i < MODELS; i++) {
      models.add("{\"name\":\"m" + i + "\",\"weights_mb\":" + MODEL_MB
          + ",\"load_s\":6,\"warm_s\":0.28,\"disk_s\":0.52,\"adapters\":0,\"adapter_size_mb\":40}");
    }
    d.configure(1, "", String.join(",", models));
    List<ModelRunner> runners = new ArrayList<>();
    for (int i = 0; i < RUNNERS; i++) {
      ModelRunner m = new ModelRunner(d, "i-" + i);
      for (int k = 0; k < RUNNER_MB / MODEL_MB; k++) {
        m.models.add("m" + (i * (RUNNER_MB / MODEL_MB) + k));
      }
      m.runner = d.addRunner(m.id, "llm", 128, m.modelsText(), m);
      m.beat();
      runners.add(m);
    }
    Thread beats = thread(() -> {
      try {
        for (int i = 0; ; i++) {
          Thread.sleep(50);
          for (ModelRunner m : runners) {
            m.finishLoad();
            if (i % 24 == 0) {
              m.beat();
            }
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    Node first = d.newNode("vm-a", false);
    Node second = d.newNode("vm-b", false);
    first.start();
    first.awaitReady(20_000);
    boolean[] end = {false};
    Thread traffic = thread(() -> {
      for (int i = 0; !end[0]; i++) {
        int model = (i * 7) % MODELS;
        int session = i;
        thread(() -> draft(d, first, "m" + model, session));
        try {
          Thread.sleep(60);
        } catch (InterruptedException e) {
          return;
        }
      }
    });
    Thread.sleep(8_000);
    CountDownLatch gained = new CountDownLatch(1);
    d.store.joins = (member, rows) -> {
      if (member.endsWith("|vm-b") && !rows.isEmpty()) {
        gained.countDown();
      }
    };
    // "At times, all partitions are reassigned at once without any request."
    d.store.atOnce = true;
    d.record.line("vm-b starts");
    second.start();
    if (!gained.await(15, TimeUnit.SECONDS)) {
      return 2;
    }
    d.record.line("vm-b has partitions");
    Thread.sleep(100);
    if (d.trouble) {
      second.kill();
      d.record.line("vm-b killed");
      Thread.sleep(RESTART_MS);
      second.start();
      d.record.line("vm-b starts again");
    }
    Thread.sleep(9_000);
    end[0] = true;
    traffic.join();
    beats.interrupt();
    return check(d);
  }

  /** ONE: holders that take turns within lease_ms at a runner. */
  private static int check(Deployment d) {
    Map<String, Order> last = new HashMap<>();
    Map<String, Integer> byHolder = new TreeMap<>();
    int turns = 0;
    int close = 0;
    long shortest = Long.MAX_VALUE;
    for (Order o : List.copyOf(ORDERS)) {
      byHolder.merge(o.holder(), 1, Integer::sum);
      Order before = last.put(o.runner(), o);
      if (before != null && !before.holder().equals(o.holder())) {
        turns++;
        long gap = o.ms() - before.ms();
        shortest = Math.min(shortest, gap);
        String line = "turn at " + o.runner() + ": " + before.holder() + " fence " + before.fence()
            + " at " + before.ms() + ", " + o.holder() + " fence " + o.fence() + " at " + o.ms()
            + ", " + gap + " ms later";
        d.record.line(line);
        if (gap < LEASE_MS) {
          close++;
          System.out.println(line);
        }
      }
    }
    String summary = "orders " + byHolder + ", " + turns + " turns, " + close + " within "
        + LEASE_MS + " ms, shortest " + (turns == 0 ? "-" : shortest + " ms");
    d.record.line(summary);
    System.out.println(summary);
    return turns == 0 ? 2 : close > 0 ? 1 : 0;
  }

  private static void draft(Deployment d, Node node, String model, int session) {
    byte[] body = new byte[1_300];
    String id = d.newId();
    String more = "X-Kumquatspindle-Model: " + model
        + "\r\nX-Kumquatspindle-Token-Count: 600,40\r\nX-Kumquatspindle-Prefix-Hash: "
        + Integer.toHexString(0x10000 + session) + ":445\r\n";
    Http.Message m = Http.call(node.front,
        Deployment.head("POST", "/draft/x", id, 6_000, more, body.length), body, 6_500);
    d.record.line("draft " + id + " " + model + ": " + m.status() + " " + m.end);
  }

  private static Thread thread(Runnable task) {
    Thread t = new Thread(null, task, "caller", 256 * 1024);
    t.setDaemon(true);
    t.start();
    return t;
  }
}
