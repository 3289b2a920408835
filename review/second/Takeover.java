import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Runners do not check fencing tokens. One VM is killed and started again at once; while it is
 * away, another one is stopped as planned and leaves its group. Rule ONE: holders of a runner do
 * not take turns within lease_ms.
 */
public final class Takeover {
  private static final int RUNNERS = 20;
  private static final int PLACES = 8;
  private static final int WANTED = 8;
  private static final String ZONE = "nord-italia-a";
  private static final long LEASE_MS = 3_000;
  private static final long RESTART_DELAY_MS = 400;
  private static final long STOP_DELAY_MS = 250;

  /** How many adapters of each model are asked for; others come into use as time goes on. */
  private static volatile int inUse = 3;

  public static void main(String[] args) throws Exception {
    Site site = new Site(args);
    StringBuilder models = new StringBuilder();
    for (int i = 1; i <= RUNNERS; i++) {
      Runner r = new Runner(
          site.record, site.store, "i-engine" + i, "birdtalk", ZONE, 16, PLACES, false,
          List.of("model-" + i));
      r.setStream(6, 30);
      site.runners.add(r);
      models.append(i == 1 ? "" : ",").append(
          "{\"name\":\"model-" + i + "\",\"weights_mb\":72700,\"load_s\":10.2,\"warm_s\":0.4,"
              + "\"disk_s\":1.2,\"adapters\":" + WANTED + ",\"adapter_size_mb\":66}");
    }
    Map<String, String> routes = new TreeMap<>();
    routes.put(
        "/quick/",
        "\"type\":\"streaming\",\"timeout_ms\":4000,\"goal_ms\":400,\"prio\":0,\"service\":"
            + "\"birdtalk\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
            + "\"gap_goal_ms\":500");
    site.configure(
        1,
        routes,
        List.of(
            "{\"name\":\"birdtalk\",\"health_path\":\"/healthz\",\"max_conns\":540,\"engine\":{"
                + "\"slots\":16,\"kv_cap\":211923,\"weights_mb\":100000,\"lora_slots\":" + PLACES
                + ",\"loads_per_s\":34,\"models\":[" + models + "]}}"));
    Map<String, String> bounds = Site.bounds(false, 178);
    bounds.put("bounds.config_ms", "3000");
    bounds.put("bounds.drain_ms", "3000");
    for (int i = 1; i <= 3; i++) {
      site.addVm("edge-" + i, ZONE, bounds);
    }
    if (!site.startAll(20_000)) {
      site.end(Site.NOT_RUN, "the VMs are not ready");
    }
    Set<Vm> away = new HashSet<>();
    startCallers(site, away);
    Store.pause(14_000);
    inUse = 5;
    Store.pause(600);
    Vm killed = site.vms.get(1);
    Vm stopped = site.vms.get(2);
    synchronized (away) {
      away.add(stopped);
      if (site.trouble) {
        away.add(killed);
      }
    }
    if (site.trouble) {
      killed.kill();
      Store.pause(RESTART_DELAY_MS);
      killed.start();
    }
    Store.pause(STOP_DELAY_MS);
    stopped.terminate();
    inUse = WANTED;
    if (site.trouble) {
      if (!killed.awaitReady(15_000)) {
        site.end(Site.NOT_RUN, "a VM is not ready after its restart");
      }
      synchronized (away) {
        away.remove(killed);
      }
    }
    Store.pause(15_000);
    judge(site);
  }

  private static void startCallers(Site site, Set<Vm> away) {
    for (int i = 0; i < 30; i++) {
      int caller = i;
      Http.daemon(
          () -> {
            Random random = new Random(caller);
            while (true) {
              Vm vm = site.vms.get(random.nextInt(3));
              boolean skip;
              synchronized (away) {
                skip = away.contains(vm);
              }
              if (!skip) {
                String model = "model-" + (1 + random.nextInt(RUNNERS));
                site.call(vm, "/quick/", model + "/a" + (1 + random.nextInt(inUse)), "POST", 4_000);
              }
              Store.pause(50 + random.nextInt(100));
            }
          });
    }
  }

  /** Orders of two holders at one runner within lease_ms. */
  private static void judge(Site site) {
    int broken = 0;
    int orders = 0;
    for (Runner r : site.runners) {
      Map<String, Long> lastMs = new HashMap<>();
      for (Runner.Order o : r.orders()) {
        orders++;
        for (Map.Entry<String, Long> other : lastMs.entrySet()) {
          long sinceMs = o.ms() - other.getValue();
          if (!other.getKey().equals(o.holder()) && sinceMs < LEASE_MS) {
            broken++;
            site.record.line(
                "BREAK runner " + r.id + " is ordered by " + o.holder() + " (fencing token "
                    + o.fence() + ") at " + o.ms() / 1000.0 + ", " + sinceMs + " ms after "
                    + other.getKey());
          }
        }
        lastMs.put(o.holder(), o.ms());
      }
    }
    if (orders < 20) {
      site.end(Site.NOT_RUN, "hardly any order was given");
    }
    if (broken > 0) {
      site.end(Site.BROKEN, "ONE: " + broken + " orders within lease_ms of another holder's");
    }
    site.end(Site.HELD, "holders took turns no sooner than lease_ms");
  }
}
