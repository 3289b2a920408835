import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * The store is away for a moment and comes back from a copy some seconds old. Later, while it is
 * stable, the entry of a runner is removed. Rule DRAIN: no request reaches the runner later than
 * drain_ms after that.
 */
public final class LostEntry {
  private static final int RUNNERS = 12;
  private static final String ZONE = "sv-uppsala";
  private static final long DRAIN_MS = 2_000;
  private static final long CONTACT_MS = 3_000;
  private static final long AWAY_MS = 400;
  private static final long AGE_MS = 7_000;
  private static final long SERVES_ON_MS = 10_000;

  public static void main(String[] args) throws Exception {
    Site site = new Site(args);
    for (int i = 1; i <= RUNNERS; i++) {
      Runner r = new Runner(
          site.record, site.store, "i-app" + i, "lots-app", ZONE, 6, 0, true, List.of());
      r.setStream(1, 40);
      site.runners.add(r);
    }
    Map<String, String> routes = new TreeMap<>();
    routes.put(
        "/book/",
        "\"type\":\"non_idempotent\",\"timeout_ms\":1200,\"goal_ms\":150,\"prio\":2,\"service\":"
            + "\"lots-app\",\"attempts\":1,\"public\":false,\"resumable\":false");
    site.configure(
        1,
        routes,
        List.of("{\"name\":\"lots-app\",\"health_path\":\"/healthz\",\"max_conns\":100}"));
    for (int i = 1; i <= 3; i++) {
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
              site.call(site.vms.get(caller % 3), "/book/", null, "POST", 2_500);
              Store.pause(50 + random.nextInt(150));
            }
          });
    }
    Store.pause(15_000);
    if (site.trouble) {
      site.store.drill(AWAY_MS, AGE_MS);
    }
    Store.pause(CONTACT_MS + 600);
    Runner leaving = site.runners.get(4);
    long offset = leaving.removeEntry();
    long ackMs = site.record.nowMs();
    site.record.line("entry of " + leaving.id + " is removed, offset " + offset);
    Store.pause(SERVES_ON_MS);
    List<Runner.Run> late =
        leaving.arrivals().stream().filter(r -> r.ms() > ackMs + DRAIN_MS).toList();
    long before = leaving.arrivals().stream().filter(r -> r.ms() <= ackMs).count();
    site.record.line(
        "runner " + leaving.id + ": " + before + " requests before, " + late.size()
            + " later than drain_ms after its entry was removed");
    for (Runner.Run r : late) {
      site.record.line(
          "BREAK request " + r.requestId() + " reached " + leaving.id + " " + (r.ms() - ackMs)
              + " ms after its entry was removed");
    }
    if (before < 10) {
      site.end(Site.NOT_RUN, "the runner hardly got a request before it left");
    }
    if (!late.isEmpty()) {
      site.end(Site.BROKEN, "DRAIN: " + late.size() + " requests reached a runner that had left");
    }
    site.end(Site.HELD, "no request reached the runner later than drain_ms after it had left");
  }
}
