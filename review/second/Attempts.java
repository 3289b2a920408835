import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Some runners lose answers of requests that they have run, by a reset. Rule BUDGET: no more than
 * three requests run on more runners than the attempts of their route.
 */
public final class Attempts {
  private static final int RUNNERS = 5;
  private static final int AFFECTED = 3;
  private static final int ATTEMPTS = 2;
  private static final int ALLOWED = 3;
  private static final double LOST_SHARE = 0.4;
  private static final long LOSING_MS = 6_000;
  private static final String ZONE = "sv-uppsala";

  public static void main(String[] args) throws Exception {
    Site site = new Site(args);
    for (int i = 1; i <= RUNNERS; i++) {
      Runner r = new Runner(
          site.record, site.store, "i-app" + i, "lots-app", ZONE, 6, 0, true, List.of());
      r.setStream(1, 30);
      site.runners.add(r);
    }
    Map<String, String> routes = new TreeMap<>();
    routes.put(
        "/cover/",
        "\"type\":\"idempotent\",\"timeout_ms\":1200,\"goal_ms\":150,\"prio\":2,\"service\":"
            + "\"lots-app\",\"attempts\":" + ATTEMPTS + ",\"public\":false,\"resumable\":false");
    site.configure(
        1,
        routes,
        List.of("{\"name\":\"lots-app\",\"health_path\":\"/healthz\",\"max_conns\":100}"));
    for (int i = 1; i <= 2; i++) {
      site.addVm("edge-" + i, ZONE, Site.bounds(true, 54));
    }
    if (!site.startAll(20_000)) {
      site.end(Site.NOT_RUN, "the VMs are not ready");
    }
    for (int i = 0; i < 12; i++) {
      int caller = i;
      Http.daemon(
          () -> {
            Random random = new Random(caller);
            while (true) {
              site.call(site.vms.get(caller % 2), "/cover/", null, "GET", 2_500);
              Store.pause(20 + random.nextInt(60));
            }
          });
    }
    Store.pause(5_000);
    for (int round = 0; round < 9; round++) {
      if (site.trouble) {
        site.runners.subList(0, AFFECTED).forEach(r -> r.loseAnswers(LOST_SHARE));
      }
      site.record.line("answers are lost at " + (site.trouble ? AFFECTED : 0) + " runners");
      Store.pause(LOSING_MS);
      site.runners.forEach(r -> r.loseAnswers(0));
      site.record.line("answers are lost no more");
      Store.pause(4_000);
    }
    judge(site);
  }

  private static void judge(Site site) {
    Map<String, Set<String>> ranOn = new HashMap<>();
    for (Runner r : site.runners) {
      r.arrivals().forEach(a -> ranOn.computeIfAbsent(a.requestId(), i -> new TreeSet<>()).add(r.id));
    }
    int beyond = 0;
    for (Map.Entry<String, Set<String>> e : ranOn.entrySet()) {
      if (e.getValue().size() > ATTEMPTS) {
        beyond++;
        site.record.line("BREAK request " + e.getKey() + " ran on " + e.getValue());
      }
    }
    site.record.line(ranOn.size() + " requests ran, " + beyond + " on more than " + ATTEMPTS);
    if (ranOn.size() < 200) {
      site.end(Site.NOT_RUN, "hardly any request ran");
    }
    if (beyond > ALLOWED) {
      site.end(Site.BROKEN, "BUDGET: " + beyond + " requests ran on more runners than attempts");
    }
    site.end(Site.HELD, beyond + " requests ran on more runners than the attempts of their route");
  }
}
