package io.kumquatspindle.bench.processes;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Parser for the line that the stand-ins print once they listen on their ports. */
final class ReadyLine {
  private ReadyLine() {}

  static Map<String, Integer> parsePorts(String output) throws IOException {
    JsonNode ports = Json.mapper().readTree(output.lines().findFirst().orElse("")).path("ports");
    Map<String, Integer> result = new LinkedHashMap<>();
    ports.fields().forEachRemaining(e -> result.put(e.getKey(), e.getValue().asInt()));
    return result;
  }
}
