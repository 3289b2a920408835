package io.kumquatspindle.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Searches the parts of a request that are forwarded to an endpoint for the caller's key. */
final class KeyScanner {
  private static final Set<String> FORWARDED_HEADERS = Set.of("content-type", "accept");

  private KeyScanner() {}

  static boolean containsKey(String key, IncomingRequest request, Optional<JsonNode> tree) {
    String body = new String(request.body(), StandardCharsets.UTF_8);
    return inText(key, request.path())
        || inText(key, request.query())
        || inText(key, body)
        || FORWARDED_HEADERS.stream().anyMatch(h -> inText(key, request.headers().get(h)))
        || tree.or(() -> escapedJson(request, body)).map(t -> inTree(key, t)).orElse(false);
  }

  private static boolean inText(String key, String text) {
    if (text == null) {
      return false;
    }
    return text.contains(key) || (text.indexOf('%') >= 0 && decoded(text).contains(key));
  }

  // Decodes valid percent escapes and keeps invalid ones unchanged, as lenient endpoints do.
  private static String decoded(String text) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(text.length());
    byte[] in = text.getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < in.length; i++) {
      int high = in[i] == '%' && i + 2 < in.length ? Character.digit(in[i + 1], 16) : -1;
      int low = high >= 0 ? Character.digit(in[i + 2], 16) : -1;
      if (low >= 0) {
        out.write(high * 16 + low);
        i += 2;
      } else {
        out.write(in[i]);
      }
    }
    return out.toString(StandardCharsets.UTF_8);
  }

  // Parses the body if it is JSON with escapes such as \u0041, which hide a key from a text search.
  private static Optional<JsonNode> escapedJson(IncomingRequest request, String body) {
    boolean json = request.header("content-type").map(t -> t.contains("json")).orElse(false);
    if (!json || body.indexOf('\\') < 0) {
      return Optional.empty();
    }
    try {
      return Optional.ofNullable(Json.mapper().readTree(body));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static boolean inTree(String key, JsonNode node) {
    if (node.isTextual()) {
      return node.textValue().contains(key);
    }
    for (Iterator<Map.Entry<String, JsonNode>> fields = node.fields(); fields.hasNext(); ) {
      if (fields.next().getKey().contains(key)) {
        return true;
      }
    }
    for (JsonNode child : node) {
      if (inTree(key, child)) {
        return true;
      }
    }
    return false;
  }
}
