package io.kumquatspindle.bench.measure;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.bench.caller.Caller;
import io.kumquatspindle.bench.processes.TestSite;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What the engine stand-ins saw during a run. */
final class EngineHistories {
  private final List<LoadedSpan> spans = new ArrayList<>();
  private int loads;
  private int violations;

  private EngineHistories() {}

  static EngineHistories read(TestSite site, Caller caller, long startEpochMs, long endMs)
      throws IOException {
    EngineHistories h = new EngineHistories();
    for (String engine : site.engines()) {
      JsonNode page = page(site, caller, engine, "/history");
      h.addOrders(engine, page.path("orders"), startEpochMs, endMs);
      JsonNode stats = page(site, caller, engine, "/stats");
      h.violations += stats.path("violations").path("memoryOvercommits").asInt();
    }
    return h;
  }

  private static JsonNode page(TestSite site, Caller caller, String engine, String path)
      throws IOException {
    Caller.Page page = caller.get(site.url(engine).resolve(path), Optional.empty());
    return Json.mapper().readTree(page.body());
  }

  private void addOrders(String engine, JsonNode orders, long startEpochMs, long endMs) {
    Map<String, Long> loadedAt = new HashMap<>();
    for (JsonNode o : orders) {
      long at = o.path("timeMs").asLong() - startEpochMs;
      String artifact = o.path("artifact").asText();
      boolean done = o.path("status").asInt() == 200;
      if (done && o.path("kind").asText().equals("load")) {
        loads += loadedAt.putIfAbsent(artifact, at) == null ? 1 : 0;
      } else if (done && loadedAt.containsKey(artifact)) {
        spans.add(new LoadedSpan(engine, artifact, loadedAt.remove(artifact), at));
      }
    }
    loadedAt.forEach((artifact, at) -> spans.add(new LoadedSpan(engine, artifact, at, endMs)));
  }

  List<LoadedSpan> spans() {
    return spans;
  }

  int loads() {
    return loads;
  }

  int violations() {
    return violations;
  }

  boolean isLoaded(String artifact, long atMs) {
    return spans.stream()
        .anyMatch(s -> s.artifact().equals(artifact) && s.fromMs() <= atMs && atMs < s.untilMs());
  }
}
