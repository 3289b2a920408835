package io.kumquatspindle.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.kumquatspindle.api.json.Json;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A streamed chat request.
 *
 * @param model the model's name
 * @param prompt what the user says
 * @param maxTokens most tokens of the answer
 */
public record ChatRequest(String model, String prompt, int maxTokens) {
  // The stand-ins begin each token with this many digits of the prompt's hash.
  private static final int DIGEST_CHARS = 12;

  /**
   * Returns the body.
   *
   * @return JSON in UTF-8
   */
  public byte[] body() {
    return Json.encode(tree());
  }

  /**
   * Returns the answer that an engine stand-in gives to this request and to no other.
   *
   * @return the text
   */
  public String expectedText() {
    StringBuilder s = new StringBuilder();
    for (int i = 0; i < maxTokens; i++) {
      s.append(digest()).append(':').append(i).append(' ');
    }
    return s.toString();
  }

  private String digest() {
    try {
      byte[] messages = tree().path("messages").toString().getBytes(StandardCharsets.UTF_8);
      byte[] sha = MessageDigest.getInstance("SHA-256").digest(messages);
      return HexFormat.of().formatHex(sha).substring(0, DIGEST_CHARS);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  private JsonNode tree() {
    ObjectNode root = Json.mapper().createObjectNode();
    root.put("model", model).put("stream", true).put("max_tokens", maxTokens);
    root.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return root;
  }
}
