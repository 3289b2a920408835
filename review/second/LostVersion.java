import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Two versions of the configuration are written shortly before the store is away for a moment and
 * comes back from a copy of before them; the operator writes the newest one again. Later, while the
 * store is stable, a version takes a key away. Rule CONFIG: a request sent later than config_ms
 * after that is not run with this key.
 */
public final class LostVersion {
  private static final String ZONE = "sv-uppsala";
  private static final String SECOND_KEY = "key-of-the-second-tenant";
  private static final long CONFIG_MS = 2_000;
  private static final long CONTACT_MS = 3_000;
  private static final long AWAY_MS = 400;
  private static final String ROUTE =
      "\"type\":\"idempotent\",\"timeout_ms\":1200,\"goal_ms\":150,\"prio\":2,\"service\":"
          + "\"lots-app\",\"attempts\":2,\"public\":false,\"resumable\":false";

  public static void main(String[] args) throws Exception {
    Site site = new Site(args);
    for (int i = 1; i <= 4; i++) {
      Runner r = new Runner(
          site.record, site.store, "i-app" + i, "lots-app", ZONE, 6, 0, true, List.of());
      r.setStream(1, 20);
      site.runners.add(r);
    }
    configure(site, 1, 1, true);
    for (int i = 1; i <= 3; i++) {
      site.addVm("edge-" + i, ZONE, Site.bounds(true, 54));
    }
    if (!site.startAll(20_000)) {
      site.end(Site.NOT_RUN, "the VMs are not ready");
    }
    Store.pause(8_000);
    site.store.markCopy();
    Store.pause(500);
    configure(site, 2, 2, true);
    Store.pause(1_500);
    configure(site, 3, 3, true);
    Store.pause(3_000);
    for (Vm v : site.vms) {
      if (send(site, v, "/cover3/", SECOND_KEY).status() != 200) {
        site.end(Site.NOT_RUN, "version 3 is not in force");
      }
    }
    if (site.trouble) {
      site.store.drillFromMark(AWAY_MS);
      configure(site, 3, 3, true);
    }
    Store.pause(CONTACT_MS + 600);
    configure(site, 4, 3, false);
    long ackMs = site.record.nowMs();
    Store.pause(CONFIG_MS + 200);
    int ran = 0;
    int sent = 0;
    while (site.record.nowMs() < ackMs + 20_000) {
      for (Vm v : site.vms) {
        sent++;
        long sentMs = site.record.nowMs();
        Caller.Answer a = send(site, v, "/cover1/", SECOND_KEY);
        if (a.status() == 200) {
          ran++;
          site.record.line(
              "BREAK " + v.name + " served a request with the key that was taken away, sent "
                  + (sentMs - ackMs) + " ms after the acknowledgement");
        }
      }
      Store.pause(500);
    }
    for (Vm v : site.vms) {
      if (send(site, v, "/cover1/", Site.KEY).status() != 200) {
        site.end(Site.NOT_RUN, "a request with a good key was not served");
      }
    }
    if (ran > 0) {
      site.end(Site.BROKEN, "CONFIG: " + ran + " of " + sent + " requests ran with a lost key");
    }
    site.end(Site.HELD, "none of " + sent + " requests ran with the key that was taken away");
  }

  private static Caller.Answer send(Site site, Vm vm, String prefix, String key) {
    return site.callWithKey(vm, prefix, key, 2_500);
  }

  /** Writes a version with a number of routes, with or without the second tenant's key. */
  private static void configure(Site site, long version, int routes, boolean secondKey) {
    Map<String, String> list = new TreeMap<>();
    for (int i = 1; i <= routes; i++) {
      list.put("/cover" + i + "/", ROUTE);
    }
    Map<String, String> keys = new LinkedHashMap<>();
    keys.put("tenant-1", Site.KEY);
    keys.put("tenant-2", secondKey ? SECOND_KEY : "");
    site.configure(
        version,
        list,
        List.of("{\"name\":\"lots-app\",\"health_path\":\"/healthz\",\"max_conns\":100}"),
        keys);
  }
}
