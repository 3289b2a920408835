package io.kumquatspindle.entry.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.entry.request.RequestContext;
import io.kumquatspindle.entry.request.Target;
import io.kumquatspindle.entry.request.Target.Completion;
import java.io.EOFException;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import okhttp3.Response;
import okio.Buffer;
import okio.BufferedSource;

/** Relays a response that is read completely before its first byte is sent to the caller. */
final class BufferedRelay {
  // Bounds the memory used for one response.
  private static final long MAX_RESPONSE_BYTES = 16L << 20;

  private static final long BYTES_PER_TOKEN = 4;

  private static final List<String> RELAYED_HEADERS =
      List.of(
          "Content-Type",
          "Content-Encoding",
          "Content-Language",
          "Content-Disposition",
          "Cache-Control",
          "ETag",
          "Last-Modified",
          "Location");

  private final RequestContext context;
  private final RunningAttempt running;

  BufferedRelay(RequestContext context, RunningAttempt running) {
    this.context = context;
    this.running = running;
  }

  void relay(Response response, Runnable firstByte) throws IOException {
    byte[] body = read(response.body().source());
    long tokens = tokens(context.target().orElseThrow(), response, body);
    if (!running.commit()) {
      throw new IOException("attempt aborted before the first byte");
    }
    firstByte.run();
    context.tokenUsage().set(tokens);
    context.reply().respond(response.code(), headers(response), body);
  }

  private static byte[] read(BufferedSource source) throws IOException {
    Buffer body = new Buffer();
    while (source.read(body, 8192) >= 0) {
      if (body.size() > MAX_RESPONSE_BYTES) {
        throw new IOException("response is larger than " + MAX_RESPONSE_BYTES + " bytes");
      }
    }
    return body.readByteArray();
  }

  private static long tokens(Target target, Response response, byte[] body) throws IOException {
    if (target instanceof Completion completion) {
      return response.isSuccessful() ? completionTokens(completion, body) : 0;
    }
    return target.fold(c -> 0L, s -> s.spec().tokensPerCall(), l -> 0L);
  }

  // Parsing also detects a truncated response that had no Content-Length.
  private static long completionTokens(Completion completion, byte[] body) throws IOException {
    JsonNode response = Json.mapper().readTree(body);
    if (response == null || !response.isObject()) {
      throw new EOFException("response is not a JSON object");
    }
    long estimate = Math.min(completion.maxTokens(), body.length / BYTES_PER_TOKEN);
    return UsageReader.totalTokens(response).orElse(completion.promptTokens() + estimate);
  }

  private static Map<String, String> headers(Response response) {
    Map<String, String> headers = new TreeMap<>();
    for (String name : RELAYED_HEADERS) {
      String value = response.header(name);
      if (value != null) {
        headers.put(name, value);
      }
    }
    return headers;
  }
}
