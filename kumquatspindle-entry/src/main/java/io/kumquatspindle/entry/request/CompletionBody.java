package io.kumquatspindle.entry.request;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The fields of a completion request that are evaluated before it is sent to an endpoint.
 *
 * @param model name of the model or adapter
 * @param streamed whether the caller requested server-sent events
 * @param promptBytes size of the prompt in bytes
 * @param maxTokens limit on the tokens of all choices together, if the caller set one
 * @param tree the parsed body
 */
record CompletionBody(
    String model, boolean streamed, long promptBytes, Optional<Long> maxTokens, JsonNode tree) {

  // Duplicate fields are rejected: an endpoint could use a different "model" than the one that was
  // authorized here.
  private static final ObjectReader READER =
      Json.mapper()
          .readerFor(JsonNode.class)
          .with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private static final long MAX_CHOICES = 128;
  private static final long MAX_TOKENS = 10_000_000;

  // Throws IllegalArgumentException, whose message is sent to the caller.
  static CompletionBody parse(byte[] body) {
    JsonNode tree = read(body);
    if (!tree.isObject() || !tree.path("model").isTextual()) {
      throw new IllegalArgumentException("the body must be a JSON object with a text \"model\"");
    }
    JsonNode stream = tree.path("stream");
    if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
      throw new IllegalArgumentException("\"stream\" must be true or false");
    }
    Optional<Long> max =
        number(tree, "max_completion_tokens", MAX_TOKENS)
            .or(() -> number(tree, "max_tokens", MAX_TOKENS));
    long choices = number(tree, "n", MAX_CHOICES).orElse(1L);
    return new CompletionBody(
        tree.path("model").textValue(),
        stream.asBoolean(false),
        size(tree.path("messages")) + size(tree.path("prompt")),
        max.map(m -> m * choices),
        tree);
  }

  private static JsonNode read(byte[] body) {
    try {
      return READER.readTree(body);
    } catch (IOException e) {
      throw new IllegalArgumentException("the body is not valid JSON", e);
    }
  }

  private static Optional<Long> number(JsonNode tree, String field, long max) {
    JsonNode node = tree.path(field);
    if (node.isMissingNode() || node.isNull()) {
      return Optional.empty();
    }
    if (!node.isIntegralNumber()
        || !node.canConvertToLong()
        || node.longValue() < 1
        || node.longValue() > max) {
      throw new IllegalArgumentException(
          "\"" + field + "\" must be a whole number from 1 to " + max);
    }
    return Optional.of(node.longValue());
  }

  private static long size(JsonNode node) {
    return node.isMissingNode() ? 0 : node.toString().getBytes(StandardCharsets.UTF_8).length;
  }
}
