package io.kumquatspindle.bench.measure;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.processes.TestSite;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Loads, unloads and violations that the engine stand-ins recorded during a run. */
final class EngineHistories {
  private final List<LoadedSpan> spans = new ArrayList<>();
  private int loads;
  private int memoryOvercommits;

  private EngineHistories() {}

  static EngineHistories read(TestSite site, ChatClient client, long startEpochMs, long endMs)
      throws IOException {
    EngineHistories histories = new EngineHistories();
    for (String engine : site.engines()) {
      JsonNode page = fetchJson(site, client, engine, "/history");
      histories.addOrders(engine, page.path("orders"), startEpochMs, endMs);
      JsonNode stats = fetchJson(site, client, engine, "/stats");
      histories.memoryOvercommits += stats.path("violations").path("memoryOvercommits").asInt();
    }
    return histories;
  }

  private static JsonNode fetchJson(TestSite site, ChatClient client, String engine, String path)
      throws IOException {
    ChatClient.Page page = client.get(site.standInUrl(engine).resolve(path), Optional.empty());
    return Json.mapper().readTree(page.body());
  }

  private void addOrders(String engine, JsonNode orders, long startEpochMs, long endMs) {
    Map<String, Long> loadedAt = new HashMap<>();
    for (JsonNode o : orders) {
      long timeMs = o.path("timeMs").asLong() - startEpochMs;
      String artifact = o.path("artifact").asText();
      boolean succeeded = o.path("status").asInt() == 200;
      if (succeeded && o.path("kind").asText().equals("load")) {
        loads += loadedAt.putIfAbsent(artifact, timeMs) == null ? 1 : 0;
      } else if (succeeded && loadedAt.containsKey(artifact)) {
        spans.add(new LoadedSpan(engine, artifact, loadedAt.remove(artifact), timeMs));
      }
    }
    loadedAt.forEach(
        (artifact, timeMs) -> spans.add(new LoadedSpan(engine, artifact, timeMs, endMs)));
  }

  List<LoadedSpan> spans() {
    return spans;
  }

  int loads() {
    return loads;
  }

  int memoryOvercommits() {
    return memoryOvercommits;
  }

  boolean isLoaded(String artifact, long atMs) {
    return spans.stream()
        .anyMatch(s -> s.artifact().equals(artifact) && s.fromMs() <= atMs && atMs < s.untilMs());
  }
}
