import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty runner sends the beginning of a second answer behind a complete one, and serves the next
 * request on the same connection. The caller of that request must get its own answer.
 */
final class BytesAfterAnswer {
  private static final int REQUESTS = 100;

  /** Answers with bytes behind them: 3 in 100, as x = 0.03 of garble. */
  private static final int GARBLED_EVERY = 30;

  /** Failures: 14 in 100, as the error_share of the idempotent class on the site file lotsnet. */
  private static final int FAILED_EVERY = 7;

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
    AtomicInteger served = new AtomicInteger();
    AtomicInteger garbled = new AtomicInteger();
    AtomicInteger failures = new AtomicInteger();
    d.configure(1, "");
    d.addRunner("i-c", "app", 6, "", (q, s, in, out) -> {
      int n = served.incrementAndGet();
      String id = q.header("X-Kumquatspindle-Request-Id");
      boolean fails = n % FAILED_EVERY == 0 || n > 1 && (n - 1) % GARBLED_EVERY == 0;
      String body = (fails ? "failure of " : "answer to ") + id;
      String status = fails ? "500 Internal Server Error" : "200 OK";
      String answer = "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\n"
          + "X-Kumquatspindle-Request-Id: " + id + "\r\nX-Kumquatspindle-Runner-Seal: seal-" + n
          + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
      failures.addAndGet(fails ? 1 : 0);
      String line = "runner i-c answers " + id + " with " + status;
      if (d.trouble && n % GARBLED_EVERY == 0) {
        // A second copy of the answer that stops after 35 bytes.
        String more = answer.substring(0, 35);
        garbled.incrementAndGet();
        answer += more;
        line += " and goes on with " + more.replace("\r\n", "\\r\\n");
      }
      d.record.line(line);
      Thread.sleep(5);
      out.write(Http.bytes(answer));
      out.flush();
      return true;
    });
    d.node.start();
    d.node.awaitReady(20_000);
    Thread.sleep(500);
    int wrong = 0;
    int ok = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = d.newId();
      Http.Message m = d.status(id);
      String text = m.text();
      boolean success = m.status() == 200;
      boolean own = text.endsWith(id);
      d.record.line("status " + id + " answered " + m.status() + " " + m.end + ": " + text);
      if (success && (!own || text.startsWith("failure"))) {
        wrong++;
      } else if (success) {
        ok++;
      }
      Thread.sleep(20);
    }
    String summary = REQUESTS + " requests, " + failures + " failures of the runner, " + garbled
        + " answers with bytes behind them; " + ok + " callers got a success, " + wrong
        + " got a success where the runner had answered with a failure";
    d.record.line(summary);
    System.out.println(summary);
    if (ok == 0 || d.trouble && garbled.get() == 0) {
      return 2;
    }
    return wrong > 0 ? 1 : 0;
  }
}
