import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner in trouble answers a stream with bytes that are no event, in small chunks, without end.
 * Callers of another service, whose runner is sound, must still be answered in time.
 */
final class SmallChunks {
  /** Bytes in a chunk: about a piece of a stream. */
  private static final int CHUNK_BYTES = Integer.getInteger("chunk", 16);

  /** Answers without end: one of some 200 streams of the run, under x = 0.02 of garble. */
  private static final int TROUBLED_STREAMS = 1;

  private static final int BEFORE_MS = 4_000;
  private static final int TROUBLE_MS = 5_500;
  private static final int AFTER_MS = 10_000;
  private static final int INTERVAL_MS = 100;

  private record Call(long sentMs, long tookMs, int status, String end) {}

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
    AtomicBoolean troubled = new AtomicBoolean();
    AtomicInteger troubledAnswers = new AtomicInteger();
    d.configure(1, "");
    d.addRunner("i-a", "llm", 128, Deployment.model("alpha"),
        (q, s, in, out) -> Runner.stream(q, out, 14, 20));
    d.addRunner("i-b", "llm", 128, Deployment.model("beta"),
        (q, s, in, out) -> {
          if (!troubled.get() || troubledAnswers.incrementAndGet() > TROUBLED_STREAMS) {
            return Runner.stream(q, out, 14, 20);
          }
          d.record.line("runner i-b answers " + q.header("X-Kumquatspindle-Request-Id")
              + " without end");
          out.write(Http.bytes(Runner.head(q)
              + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
          byte[] chunk = Http.bytes(Integer.toHexString(CHUNK_BYTES) + "\r\n"
              + "x".repeat(CHUNK_BYTES) + "\r\n");
          byte[] many = new byte[chunk.length * (16_384 / chunk.length)];
          for (int i = 0; i < many.length; i++) {
            many[i] = chunk[i % chunk.length];
          }
          long sent = 0;
          try {
            while (true) {
              out.write(many);
              sent += many.length;
            }
          } finally {
            d.record.line("runner i-b sent " + sent + " bytes until the VM closed");
          }
        });
    d.addRunner("i-c", "app", 6, "", (q, s, in, out) -> Runner.sound(q, out, 30));
    d.node.start();
    d.node.awaitReady(20_000);
    Thread.sleep(1_000);

    List<Thread> threads = new ArrayList<>();
    ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    long start = System.currentTimeMillis();
    for (int i = 0; System.currentTimeMillis() - start < BEFORE_MS + TROUBLE_MS + AFTER_MS; i++) {
      long at = System.currentTimeMillis() - start;
      troubled.set(d.trouble && at >= BEFORE_MS && at < BEFORE_MS + TROUBLE_MS);
      int session = i;
      threads.add(thread(() -> draft(d, session % 2 == 0 ? "alpha" : "beta", session)));
      threads.add(thread(() -> book(d, calls)));
      Thread.sleep(INTERVAL_MS);
    }
    for (Thread t : threads) {
      t.join();
    }
    if (d.trouble && troubledAnswers.get() == 0) {
      return 2;
    }
    // CONFIG: of the requests that are still unanswered at their route's timeout_ms, more than half
    // have no answer half a second later.
    long bound = Deployment.STATUS_TIMEOUT_MS + 500;
    long late = calls.stream().filter(c -> c.tookMs() >= Deployment.STATUS_TIMEOUT_MS).count();
    long never = calls.stream().filter(c -> c.tookMs() >= bound).count();
    long longest = calls.stream().mapToLong(Call::tookMs).max().orElse(0);
    String summary = calls.size() + " calls to the sound service, " + late
        + " unanswered at the timeout, " + never + " half a second later; longest " + longest
        + " ms; VM alive " + d.node.alive();
    d.record.line(summary);
    System.out.println(summary);
    return late >= 8 && 2 * never > late ? 1 : 0;
  }

  private static void book(Deployment d, ConcurrentLinkedQueue<Call> calls) {
    String id = d.newId();
    long sentMs = d.record.ms();
    Http.Message m = d.book(id);
    Call c = new Call(sentMs, d.record.ms() - sentMs, m.status(), m.end);
    calls.add(c);
    d.record.line("book " + id + " sent at " + sentMs + " took " + c.tookMs() + " ms: "
        + c.status() + " " + c.end());
  }

  private static void draft(Deployment d, String model, int session) {
    String id = d.newId();
    long sentMs = d.record.ms();
    d.record.line("draft " + id + " " + model + " sent");
    Http.Message m = d.draft(id, model, session);
    d.record.line("draft " + id + " took " + (d.record.ms() - sentMs) + " ms: " + m.status() + " "
        + m.body.length + " bytes " + m.end);
  }

  private static Thread thread(Runnable task) {
    Thread t = new Thread(null, task, "caller", 256 * 1024);
    t.setDaemon(true);
    t.start();
    return t;
  }
}
