package io.kumquatspindle.standins.endpoint;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds the JSON of completion responses in the format that engines use. */
final class CompletionJson {
  private CompletionJson() {}

  static Map<String, Object> chunk(CompletionRequest r, String id, int index) {
    Map<String, Object> choice = new LinkedHashMap<>();
    choice.put("index", 0);
    if (r.chat()) {
      choice.put("delta", Map.of("content", r.token(index)));
    } else {
      choice.put("text", r.token(index));
    }
    return envelope(r, id, r.chat() ? "chat.completion.chunk" : "text_completion", choice);
  }

  static Map<String, Object> lastChunk(CompletionRequest r, String id, int sent) {
    Map<String, Object> choice = new LinkedHashMap<>();
    choice.put("index", 0);
    choice.put(r.chat() ? "delta" : "text", r.chat() ? Map.of() : "");
    choice.put("finish_reason", "stop");
    Map<String, Object> e =
        envelope(r, id, r.chat() ? "chat.completion.chunk" : "text_completion", choice);
    e.put("usage", usage(r, sent));
    return e;
  }

  static Map<String, Object> fullResponse(CompletionRequest r, String id) {
    List<String> tokens = new ArrayList<>();
    for (int i = 0; i < r.tokens(); i++) {
      tokens.add(r.token(i));
    }
    String text = String.join("", tokens);
    Map<String, Object> choice = new LinkedHashMap<>();
    choice.put("index", 0);
    if (r.chat()) {
      choice.put("message", Map.of("role", "assistant", "content", text));
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", "stop");
    Map<String, Object> e =
        envelope(r, id, r.chat() ? "chat.completion" : "text_completion", choice);
    e.put("usage", usage(r, r.tokens()));
    return e;
  }

  private static Map<String, Object> envelope(
      CompletionRequest r, String id, String object, Map<String, Object> choice) {
    Map<String, Object> e = new LinkedHashMap<>();
    e.put("id", id);
    e.put("object", object);
    e.put("created", System.currentTimeMillis() / 1000);
    e.put("model", r.model());
    e.put("choices", List.of(choice));
    return e;
  }

  private static Map<String, Object> usage(CompletionRequest r, int sent) {
    Map<String, Object> u = new LinkedHashMap<>();
    u.put("prompt_tokens", r.promptTokens());
    u.put("completion_tokens", sent);
    u.put("total_tokens", r.promptTokens() + sent);
    return u;
  }
}
