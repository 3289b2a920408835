import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A burst of long requests, each within max_body_bytes. Short requests of other callers must still
 * be answered in time.
 */
final class LongRequests {
  /** Callers with long requests on a usual day. */
  private static final int USUAL = 7;

  /** Dose of a burst of one class on the site file lotsnet. */
  private static final double BURST = 2.4;
  /** Length of a long request; max_body_bytes is 4,194,304. */
  private static final int BODY_BYTES = 4_000_000;

  /** Time in which a caller sends a long request: 32 Mbit/s, all callers together 0.55 Gbit/s. */
  private static final int SENDING_MS = 1_000;

  private static final int BEFORE_MS = 3_000;
  private static final int BURST_MS = 4_500;
  private static final int AFTER_MS = 4_000;
  private static final int INTERVAL_MS = 50;

  private record Call(long tookMs, int status) {}

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
    d.configure(1, "");
    d.addRunner("i-c", "app", 6, "", (q, s, in, out) -> Runner.sound(q, out, 30));
    d.node.start();
    d.node.awaitReady(20_000);
    Thread.sleep(1_000);
    long start = System.currentTimeMillis();
    long burstFrom = start + BEFORE_MS;
    long burstTo = burstFrom + BURST_MS;
    long end = burstTo + AFTER_MS;
    ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    Map<String, Integer> longs = new TreeMap<>();
    List<Thread> threads = new ArrayList<>();
    // Each caller sends its next request when the last one has ended.
    for (int i = 0; i < Math.round(USUAL * BURST); i++) {
      boolean usual = i < USUAL;
      if (usual || d.trouble) {
        threads.add(thread(() -> upload(d, usual ? start : burstFrom, usual ? end : burstTo, longs)));
      }
    }
    while (System.currentTimeMillis() < end) {
      threads.add(thread(() -> {
        String id = d.newId();
        long sentMs = d.record.ms();
        Http.Message m = d.book(id);
        long tookMs = d.record.ms() - sentMs;
        calls.add(new Call(tookMs, m.status()));
        d.record.line("book " + id + " sent at " + sentMs + ", after " + tookMs + " ms: "
            + m.status() + " " + m.end);
      }));
      Thread.sleep(INTERVAL_MS);
    }
    for (Thread t : threads) {
      t.join();
    }
    long late = calls.stream().filter(c -> c.tookMs() >= Deployment.STATUS_TIMEOUT_MS).count();
    long never =
        calls.stream().filter(c -> c.tookMs() >= Deployment.STATUS_TIMEOUT_MS + 500).count();
    String summary = calls.size() + " short requests, " + late + " unanswered at the timeout, "
        + never + " half a second later; answered 200: "
        + calls.stream().filter(c -> c.status() == 200).count() + "; long requests " + longs
        + "; VM alive " + d.node.alive() + ", lines about memory " + d.node.logged("OutOfMemory");
    d.record.line(summary);
    System.out.println(summary);
    return late >= 8 && 2 * never > late ? 1 : 0;
  }

  private static void upload(Deployment d, long from, long to, Map<String, Integer> results) {
    byte[] body = new byte[BODY_BYTES];
    try {
      Thread.sleep(Math.max(0, from - System.currentTimeMillis()));
      while (System.currentTimeMillis() < to) {
        String id = d.newId();
        long sentMs = d.record.ms();
        Http.Message m = Http.call(d.node.front,
            Deployment.head("POST", "/book/x", id, 2_500, "", body.length), body, 2_500, SENDING_MS);
        String result = m.status() + " " + m.end;
        d.record.line("long book " + id + " sent at " + sentMs + ", after "
            + (d.record.ms() - sentMs) + " ms: " + result);
        synchronized (results) {
          results.merge(result, 1, Integer::sum);
        }
        Thread.sleep(50);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Thread thread(Runnable task) {
    Thread t = new Thread(null, task, "caller", 256 * 1024);
    t.setDaemon(true);
    t.start();
    return t;
  }
}
