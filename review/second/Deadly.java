import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of prompts crashes each runner that begins to write an answer on it, before the head of
 * the answer is complete. Rule BUDGET: later than contact_ms after the fifth crash, no more than
 * three requests with that part reach runners.
 */
public final class Deadly {
  private static final int RUNNERS = 6;
  private static final String ZONE = "sv-uppsala";
  private static final String DEADLY = "dead00ff";
  private static final long CONTACT_MS = 3_000;
  private static final long BACK_AFTER_MS = 2_500;
  private static final long PLAY_MS = 22_000;
  private static final int ALLOWED = 3;

  private static final List<Long> CRASHES = new ArrayList<>();
  private static final AtomicInteger STARTS = new AtomicInteger();

  public static void main(String[] args) throws Exception {
    Site site = new Site(args);
    for (int i = 0; i < RUNNERS; i++) {
      startRunner(site);
    }
    Map<String, String> routes = new TreeMap<>();
    routes.put(
        "/rota/",
        "\"type\":\"streaming\",\"timeout_ms\":6000,\"goal_ms\":300,\"prio\":0,\"service\":"
            + "\"lots-llm\",\"attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,"
            + "\"gap_goal_ms\":300");
    site.configure(
        1,
        routes,
        List.of("{\"name\":\"lots-llm\",\"health_path\":\"/healthz\",\"max_conns\":360}"));
    for (int i = 1; i <= 2; i++) {
      site.addVm("edge-" + i, ZONE, Site.bounds(true, 54));
    }
    if (!site.startAll(20_000)) {
      site.end(Site.NOT_RUN, "the VMs are not ready");
    }
    AtomicInteger cut = new AtomicInteger();
    for (int i = 0; i < 12; i++) {
      int caller = i;
      Http.daemon(
          () -> {
            Random random = new Random(caller);
            while (true) {
              Caller.Answer a =
                  site.call(
                      site.vms.get(random.nextInt(2)), "/rota/", null, "POST", 6_000,
                      "5c1e07a2:100,91bd3f0" + random.nextInt(3) + ":100");
              cut.addAndGet(a.status() == 0 ? 1 : 0);
              Store.pause(100 + random.nextInt(500));
            }
          });
    }
    Store.pause(5_000);
    long until = site.record.nowMs() + PLAY_MS;
    Random random = new Random(99);
    while (site.record.nowMs() < until) {
      Store.pause(950 + random.nextInt(400));
      if (site.trouble) {
        Http.daemon(
            () ->
                site.call(
                    site.vms.get(random.nextInt(2)), "/rota/", null, "POST", 6_000,
                    "5c1e07a2:100," + DEADLY + ":100"));
      }
    }
    judge(site, cut.get());
  }

  private static void startRunner(Site site) {
    try {
      Runner r = new Runner(
          site.record, site.store, "i-engine" + STARTS.incrementAndGet(), "lots-llm", ZONE, 64, 8,
          true, List.of());
      r.setStream(10, 40);
      r.crashOn(DEADLY, () -> onCrash(site));
      synchronized (CRASHES) {
        site.runners.add(r);
      }
    } catch (java.io.IOException e) {
      site.end(Site.NOT_RUN, "no port for a runner");
    }
  }

  private static void onCrash(Site site) {
    synchronized (CRASHES) {
      CRASHES.add(site.record.nowMs());
      site.record.line("crash number " + CRASHES.size());
    }
    Http.daemon(
        () -> {
          Store.pause(BACK_AFTER_MS);
          startRunner(site);
        });
  }

  private static void judge(Site site, int cut) {
    int late = 0;
    int crashes;
    int runs = 0;
    int deadly = 0;
    synchronized (CRASHES) {
      crashes = CRASHES.size();
      long from = crashes < 5 ? Long.MAX_VALUE : CRASHES.get(4) + CONTACT_MS;
      for (Runner r : site.runners) {
        runs += r.arrivals().size();
        deadly += r.deadlyArrivals().size();
        late += (int) r.deadlyArrivals().stream().filter(ms -> ms > from).count();
      }
    }
    site.record.line(
        runs + " requests ran, " + deadly + " of them with the deadly part, " + crashes
            + " crashes, " + late
            + " requests with the deadly part later than contact_ms after the fifth crash, " + cut
            + " answers to sound requests broken off");
    if (runs < 200) {
      site.end(Site.NOT_RUN, "hardly any request ran");
    }
    if (late > ALLOWED) {
      site.end(Site.BROKEN, "BUDGET: " + late + " requests with the deadly part reached runners");
    }
    site.end(Site.HELD, crashes + " crashes, " + late + " late requests with the deadly part");
  }
}
