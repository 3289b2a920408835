import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner in trouble answers all its streams with bytes that are no event. */
final class NoEvents {
  private static final int STREAMS = Integer.getInteger("streams", 128);
  private static final int BYTES = Integer.getInteger("bytes", 250_000);
  private static final int BEFORE_MS = 3_000;
  private static final int TROUBLE_MS = 5_500;
  private static final int AFTER_MS = 10_000;
  private static final int INTERVAL_MS = 100;

  public static void main(String[] args) throws Exception {
    int result = 2;
    try (Deployment d = new Deployment(args[0])) {
      result = run(d);
    } finally {
      System.out.println(result == 1 ? "broken" : result == 0 ? "held" : "could not run");
      System.exit(result);
    }
  }

  private static int run(Deployment d) throws Exception {
    AtomicBoolean troubled = new AtomicBoolean();
    d.configure(1, "");
    d.addRunner("i-a", "llm", 128, Deployment.model("alpha"),
        (q, s, in, out) -> Runner.stream(q, out, 14, 20));
    d.addRunner("i-b", "llm", 128, Deployment.model("beta"),
        (q, s, in, out) -> {
          if (!troubled.get()) {
            return Runner.stream(q, out, 14, 20);
          }
          out.write(Http.bytes(Runner.head(q)
              + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
          int parts = 50;
          String chunk = Integer.toHexString(BYTES / parts) + "\r\n" + "x".repeat(BYTES / parts) + "\r\n";
          for (int i = 0; i < parts; i++) {
            out.write(Http.bytes(chunk));
            out.flush();
            Thread.sleep(3_000 / parts);
          }
          Thread.sleep(10_000);
          return false;
        });
    d.addRunner("i-c", "app", 6, "", (q, s, in, out) -> Runner.sound(q, out, 30));
    d.node.start();
    d.node.awaitReady(20_000);
    Thread.sleep(1_000);
    List<Thread> threads = new ArrayList<>();
    AtomicInteger ok = new AtomicInteger();
    AtomicInteger bad = new AtomicInteger();
    long start = System.currentTimeMillis();
    boolean sent = false;
    for (int i = 0; System.currentTimeMillis() - start < BEFORE_MS + TROUBLE_MS + AFTER_MS; i++) {
      long at = System.currentTimeMillis() - start;
      troubled.set(d.trouble && at >= BEFORE_MS && at < BEFORE_MS + TROUBLE_MS);
      if (at >= BEFORE_MS && !sent) {
        sent = true;
        for (int k = 0; k < STREAMS; k++) {
          int session = k;
          threads.add(thread(() -> draft(d, "beta", session)));
        }
      }
      threads.add(thread(() -> draft(d, "alpha", 1000)));
      threads.add(thread(() -> {
        String id = d.newId();
        Http.Message m = d.status(id);
        d.record.line("status " + id + " " + m.status() + " " + m.end);
        (m.status() == 200 ? ok : bad).incrementAndGet();
      }));
      Thread.sleep(INTERVAL_MS);
    }
    d.configure(2, ",{\"name\":\"new\",\"host\":\"site.example\",\"prefix\":\"/new/\","
        + "\"type\":\"idempotent\",\"timeout_ms\":1200,\"goal_ms\":150,\"prio\":2,"
        + "\"service\":\"app\",\"attempts\":2}");
    Thread.sleep(6_000);
    Http.Message m = Http.call(d.node.front, Deployment.head("GET", "/new/x", d.newId(), 2500, "", 0), new byte[0], 2500);
    System.out.println("new route " + m.status() + " " + m.end + "; status ok " + ok + " bad " + bad + " alive " + d.node.alive() + " oom " + d.node.logged("OutOfMemory") + " ready " + d.node.readiness(1000));
    return m.status() == 200 ? 0 : 1;
  }

  private static void draft(Deployment d, String model, int session) {
    String id = d.newId();
    long sentMs = d.record.ms();
    Http.Message m = d.draft(id, model, session);
    d.record.line("draft " + id + " " + model + " took " + (d.record.ms() - sentMs) + " ms: " + m.status() + " "
        + m.body.length + " bytes " + m.end);
  }

  private static Thread thread(Runnable task) {
    Thread t = new Thread(null, task, "caller", 256 * 1024);
    t.setDaemon(true);
    t.start();
    return t;
  }
}
