package io.kumquatspindle.bench.system;

import io.kumquatspindle.bench.client.ChatRequest;
import io.kumquatspindle.bench.history.ExposureChecker.SentRequest;
import io.kumquatspindle.bench.processes.SiteVm;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** A caller of one customer at one VM that cycles through permitted and forbidden requests. */
final class MixedWorkloadCaller extends Thread {
  /** The only permitted statuses of each kind of request. */
  static final Map<String, Set<String>> EXPECTED_STATUSES =
      Map.of(
          "own model", Set.of("200"),
          "own service", Set.of("200"),
          "key in other headers", Set.of("200"),
          "key in an undeclared parameter", Set.of("400"),
          "other customer's model", Set.of("403"),
          "other customer's service", Set.of("403"),
          "key in a declared parameter", Set.of("400"),
          "key in the body", Set.of("400"),
          "escaped key in the body", Set.of("400"));

  private static final int REQUESTS = 60;
  private static final int MAX_RETRIES = 20;

  private final SiteVm vm;
  private final int customer;
  private final int customers;
  private final Random random;
  private final Map<String, SentRequest> sent = new HashMap<>();
  private final Map<String, String> idByBodyHash = new HashMap<>();
  private final Map<String, Map<String, Integer>> statuses = new TreeMap<>();
  private Exception failure;

  MixedWorkloadCaller(SiteVm vm, int customer, int customers) {
    super("caller-" + customer + "-" + vm.id());
    this.vm = vm;
    this.customer = customer;
    this.customers = customers;
    this.random = new Random(customer * 31L + vm.id().value().hashCode());
  }

  static String key(int customer) {
    return "secret-key-of-" + customer;
  }

  Map<String, SentRequest> sent() {
    if (failure != null) {
      throw new IllegalStateException(failure);
    }
    return sent;
  }

  Map<String, String> idByBodyHash() {
    return idByBodyHash;
  }

  Map<String, Map<String, Integer>> statuses() {
    return statuses;
  }

  @Override
  public void run() {
    try {
      for (int i = 0; i < REQUESTS; i++) {
        sendRequest(getName() + "-" + i, i);
      }
    } catch (Exception e) {
      failure = e;
    }
  }

  private void sendRequest(String id, int i) throws Exception {
    int other = (customer + random.nextInt(customers - 1)) % customers + 1;
    String key = key(customer);
    String escaped = "\\u0073" + key.substring(1);
    switch (i % 9) {
      case 0 -> sendChat("own model", id, customer, id, Map.of());
      case 1 -> sendCall("own service", id, customer, "?call_id=" + id, "{}", Map.of());
      case 2 -> {
        Map<String, String> h =
            Map.of("Cookie", "k=" + key, "X-Api-Key", key, "X-Request-Id", key, "Referer", key);
        sendCall("key in other headers", id, customer, "?call_id=" + id, "{}", h);
      }
      case 3 ->
          sendCall(
              "key in an undeclared parameter", id, customer, "?key=" + key, body(id), Map.of());
      case 4 -> sendChat("other customer's model", id, other, id, Map.of());
      case 5 -> sendCall("other customer's service", id, other, "", body(id), Map.of());
      case 6 ->
          sendCall(
              "key in a declared parameter",
              id,
              customer,
              "?call_id=" + key.replace("-", "%2D"),
              body(id),
              Map.of());
      case 7 -> sendChat("key in the body", id, customer, id + " " + key, Map.of());
      default ->
          sendCall(
              "escaped key in the body",
              id,
              customer,
              "",
              "{\"call_id\":\"" + id + "\",\"x\":\"" + escaped + "\"}",
              Map.of());
    }
  }

  private static String body(String id) {
    return "{\"call_id\":\"" + id + "\"}";
  }

  private void sendChat(
      String kind, String id, int model, String prompt, Map<String, String> headers)
      throws Exception {
    byte[] body = new ChatRequest("m" + model, prompt, 4).body();
    byte[] sha = MessageDigest.getInstance("SHA-256").digest(body);
    idByBodyHash.put(HexFormat.of().formatHex(sha), id);
    String text = new String(body, StandardCharsets.UTF_8);
    send(kind, id, "/v1/chat/completions", text, headers);
  }

  private void sendCall(
      String kind, String id, int service, String query, String body, Map<String, String> headers) {
    send(kind, id, "/services/s" + service + "/notices" + query, body, headers);
  }

  private void send(String kind, String id, String path, String body, Map<String, String> headers) {
    Map<String, String> allHeaders = new HashMap<>(headers);
    allHeaders.putAll(Http.authorization(key(customer)));
    Http.Reply r = Http.post(vm.callerUrl().resolve(path), allHeaders, body);
    // Quota refusals are out of scope: if control does not grant tokens in time, the request does
    // not run, and callers retry it.
    for (int i = 0; r.status() == 429 && i < MAX_RETRIES; i++) {
      r = Http.post(vm.callerUrl().resolve(path), allHeaders, body);
    }
    boolean whole =
        r.status() == 200 && (!path.startsWith("/v1/") || r.body().contains("data: [DONE]"));
    sent.put(id, new SentRequest("c" + customer, whole));
    statuses
        .computeIfAbsent(kind, k -> new TreeMap<>())
        .merge(Integer.toString(r.status()), 1, Integer::sum);
  }
}
