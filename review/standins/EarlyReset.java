import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner begins to answer a long request before it has read it, without a length, and its
 * connection is reset on the way. The caller must not get that part as a whole answer.
 */
final class EarlyReset {
  private static final int BODY_BYTES = 4_190_000;
  private static final int REQUESTS = 10;
  private static final int PART_BYTES = 2_000;

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
    AtomicInteger resets = new AtomicInteger();
    AtomicInteger answers = new AtomicInteger();
    d.configure(1, "");
    Runner r = d.addRunner("i-c", "app", 6, "", (q, s, in, out) -> {
      if (q.line.startsWith("GET")) {
        return Runner.sound(q, out, 1);
      }
      String id = q.header("X-Kumquatspindle-Request-Id");
      // Early answer: the body has not been read yet.
      out.write(Http.bytes(Runner.head(q) + "Connection: close\r\n\r\n"));
      out.write("first half ".repeat(PART_BYTES / 11).getBytes());
      out.flush();
      Thread.sleep(100);
      // Half of the connections, under x = 0.55 of reset_conns.
      if (d.trouble && answers.incrementAndGet() % 2 == 0) {
        resets.incrementAndGet();
        s.setSoLinger(true, 0);
        s.close();
        d.record.line("runner i-c reset the connection of " + id + " midway");
        return false;
      }
      out.write("second half ".repeat(PART_BYTES / 12).getBytes());
      out.flush();
      in.skipNBytes(Integer.parseInt(q.header("Content-Length")));
      d.record.line("runner i-c ended its answer to " + id);
      return false;
    });
    r.bodyByHandler = true;
    d.node.start();
    d.node.awaitReady(20_000);
    Thread.sleep(500);
    int cutButWhole = 0;
    int whole = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = d.newId();
      byte[] body = new byte[BODY_BYTES];
      d.record.line("book " + id + " sent with " + BODY_BYTES + " bytes");
      Http.Message m = Http.call(d.node.front,
          Deployment.head("POST", "/book/x", id, 2_500, "", body.length), body, 2_500);
      boolean second = m.text().contains("second half");
      d.record.line("book " + id + " answered " + m.status() + ", " + m.body.length + " bytes, "
          + (m.complete ? "complete" : "incomplete: " + m.end) + ", Content-Length "
          + m.header("Content-Length") + ", seal " + m.header("X-Kumquatspindle-Runner-Seal"));
      if (m.status() == 200 && m.complete && !second) {
        cutButWhole++;
      }
      if (m.status() == 200 && m.complete && second) {
        whole++;
      }
    }
    String summary = REQUESTS + " requests, " + resets + " answers reset midway; " + cutButWhole
        + " callers got the part as a complete 200, " + whole + " a whole answer";
    d.record.line(summary);
    System.out.println(summary);
    if (whole == 0 || d.trouble && resets.get() == 0) {
      return 2;
    }
    return cutButWhole > 0 ? 1 : 0;
  }
}
