package io.kumquatspindle.entry.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.util.OptionalLong;

/** Reads the token count that an engine reports in the {@code usage} field of a response. */
final class UsageReader {
  private static final String USAGE = "\"usage\"";

  private UsageReader() {}

  static OptionalLong totalTokens(String json) {
    if (!json.contains(USAGE)) {
      return OptionalLong.empty();
    }
    try {
      return totalTokens(Json.mapper().readTree(json));
    } catch (IOException e) {
      return OptionalLong.empty();
    }
  }

  static OptionalLong totalTokens(JsonNode response) {
    JsonNode total = response.path("usage").path("total_tokens");
    return total.canConvertToLong() && total.isIntegralNumber() && total.longValue() >= 0
        ? OptionalLong.of(total.longValue())
        : OptionalLong.empty();
  }
}
