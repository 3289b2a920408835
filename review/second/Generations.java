import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * VMs are stopped and started in turn; between two of them the store comes back from a copy some
 * seconds old, so that the group's generation falls. Rule ONE: no two holders order a runner with
 * one fencing token.
 */
public final class Generations {
  private static final int RUNNERS = 8;
  private static final int PLACES = 8;
  private static final int WANTED = 14;
  private static final String ZONE = "sv-uppsala";
  private static final long AWAY_MS = 600;

  public static void main(String[] args) throws Exception {
    Site site = new Site(args);
    for (int i = 1; i <= RUNNERS; i++) {
      Runner r = new Runner(
          site.record, site.store, "i-engine" + i, "lots-llm", ZONE, 64, PLACES, true,
          List.of("model-" + i));
      r.setStream(6, 30);
      site.runners.add(r);
    }
    Map<String, String> routes = new TreeMap<>();
    routes.put(
        "/rota/",
        "\"type\":\"streaming\",\"timeout_ms\":6000,\"goal_ms\":300,\"prio\":0,\"service\":"
            + "\"lots-llm\",\"attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,"
            + "\"gap_goal_ms\":300");
    StringBuilder models = new StringBuilder();
    for (int i = 1; i <= RUNNERS; i++) {
      models.append(i == 1 ? "" : ",").append(
          "{\"name\":\"model-" + i + "\",\"weights_mb\":72700,\"load_s\":6.0,\"warm_s\":0.4,"
              + "\"disk_s\":1.2,\"adapters\":" + WANTED + ",\"adapter_size_mb\":66}");
    }
    site.configure(
        1,
        routes,
        List.of(
            "{\"name\":\"lots-llm\",\"health_path\":\"/healthz\",\"max_conns\":360,\"engine\":{"
                + "\"slots\":64,\"kv_cap\":232000,\"weights_mb\":100000,\"lora_slots\":" + PLACES
                + ",\"loads_per_s\":3.9,\"models\":[" + models + "]}}"));
    for (int i = 1; i <= 3; i++) {
      site.addVm("edge-" + i, ZONE, Site.bounds(true, 54));
    }
    if (!site.startAll(20_000)) {
      site.end(Site.NOT_RUN, "the VMs are not ready");
    }
    Set<Vm> away = new HashSet<>();
    startCallers(site, away);
    Store.pause(12_000);
    site.store.markCopy();
    Store.pause(300);
    restart(site, site.vms.get(2), away);
    Store.pause(3_000);
    if (site.trouble) {
      site.store.drillFromMark(AWAY_MS);
    }
    Store.pause(6_000);
    restart(site, site.vms.get(1), away);
    Store.pause(20_000);
    judge(site);
  }

  /** Stops a VM as planned and starts it again. */
  private static void restart(Site site, Vm vm, Set<Vm> away) throws Exception {
    synchronized (away) {
      away.add(vm);
    }
    vm.terminate();
    vm.awaitEnd(9_000);
    vm.start();
    if (!vm.awaitReady(15_000)) {
      site.end(Site.NOT_RUN, "a VM is not ready after its restart");
    }
    synchronized (away) {
      away.remove(vm);
    }
  }

  private static void startCallers(Site site, Set<Vm> away) {
    for (int i = 0; i < 12; i++) {
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
                site.call(vm, "/rota/", model + "/a" + (1 + random.nextInt(WANTED)), "POST", 6_000);
              }
              Store.pause(50 + random.nextInt(200));
            }
          });
    }
  }

  /** Two holders with one fencing token, in orders that the runner did not refuse as fenced. */
  private static void judge(Site site) {
    int broken = 0;
    int orders = 0;
    for (Runner r : site.runners) {
      Map<Long, Set<String>> holders = new TreeMap<>();
      for (Runner.Order o : r.orders()) {
        orders++;
        if (o.status() != 412) {
          holders.computeIfAbsent(o.fence(), f -> new HashSet<>()).add(o.holder());
        }
      }
      site.record.line("runner " + r.id + " holders by fencing token " + holders);
      for (Map.Entry<Long, Set<String>> e : holders.entrySet()) {
        if (e.getValue().size() > 1) {
          broken++;
          site.record.line(
              "BREAK runner " + r.id + " is ordered with fencing token " + e.getKey() + " by "
                  + e.getValue());
        }
      }
    }
    if (orders < 20) {
      site.end(Site.NOT_RUN, "hardly any order was given");
    }
    if (broken > 0) {
      site.end(Site.BROKEN, "ONE: two holders with one fencing token at " + broken + " runners");
    }
    site.end(Site.HELD, "each fencing token had one holder at each runner");
  }
}
