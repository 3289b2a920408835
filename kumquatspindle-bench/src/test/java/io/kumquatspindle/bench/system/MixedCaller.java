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

/** A customer's caller at one VM that sends requests of all kinds, right and wrong, in turn. */
final class MixedCaller extends Thread {
  /** The statuses that each kind of request must get, and no other. */
  static final Map<String, Set<String>> EXPECTED =
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
  private static final int MAX_REPEATS = 20;

  private final SiteVm vm;
  private final int customer;
  private final int customers;
  private final Random random;
  private final Map<String, SentRequest> sent = new HashMap<>();
  private final Map<String, String> idOfBody = new HashMap<>();
  private final Map<String, Map<String, Integer>> statuses = new TreeMap<>();
  private Exception failure;

  MixedCaller(SiteVm vm, int customer, int customers) {
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

  Map<String, String> idOfBody() {
    return idOfBody;
  }

  Map<String, Map<String, Integer>> statuses() {
    return statuses;
  }

  @Override
  public void run() {
    try {
      for (int i = 0; i < REQUESTS; i++) {
        one(getName() + "-" + i, i);
      }
    } catch (Exception e) {
      failure = e;
    }
  }

  private void one(String id, int i) throws Exception {
    int other = (customer + random.nextInt(customers - 1)) % customers + 1;
    String key = key(customer);
    String escaped = "\\u0073" + key.substring(1);
    switch (i % 9) {
      case 0 -> model("own model", id, customer, id, Map.of());
      case 1 -> service("own service", id, customer, "?call_id=" + id, "{}", Map.of());
      case 2 -> {
        Map<String, String> h =
            Map.of("Cookie", "k=" + key, "X-Api-Key", key, "X-Request-Id", key, "Referer", key);
        service("key in other headers", id, customer, "?call_id=" + id, "{}", h);
      }
      case 3 ->
          service(
              "key in an undeclared parameter", id, customer, "?key=" + key, body(id), Map.of());
      case 4 -> model("other customer's model", id, other, id, Map.of());
      case 5 -> service("other customer's service", id, other, "", body(id), Map.of());
      case 6 ->
          service(
              "key in a declared parameter",
              id,
              customer,
              "?call_id=" + key.replace("-", "%2D"),
              body(id),
              Map.of());
      case 7 -> model("key in the body", id, customer, id + " " + key, Map.of());
      default ->
          service(
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

  private void model(String kind, String id, int model, String prompt, Map<String, String> headers)
      throws Exception {
    byte[] body = new ChatRequest("m" + model, prompt, 4).body();
    byte[] sha = MessageDigest.getInstance("SHA-256").digest(body);
    idOfBody.put(HexFormat.of().formatHex(sha), id);
    String text = new String(body, StandardCharsets.UTF_8);
    send(kind, id, "/v1/chat/completions", text, headers);
  }

  private void service(
      String kind, String id, int service, String query, String body, Map<String, String> headers) {
    send(kind, id, "/services/s" + service + "/notices" + query, body, headers);
  }

  private void send(String kind, String id, String path, String body, Map<String, String> headers) {
    Map<String, String> all = new HashMap<>(headers);
    all.putAll(Http.key(key(customer)));
    Http.Reply r = Http.post(vm.callerUrl().resolve(path), all, body);
    // Tokens that control does not grant in time are no matter of this test: the request did not
    // run, and callers try again.
    for (int i = 0; r.status() == 429 && i < MAX_REPEATS; i++) {
      r = Http.post(vm.callerUrl().resolve(path), all, body);
    }
    boolean whole =
        r.status() == 200 && (!path.startsWith("/v1/") || r.body().contains("data: [DONE]"));
    sent.put(id, new SentRequest("c" + customer, whole));
    statuses
        .computeIfAbsent(kind, k -> new TreeMap<>())
        .merge(Integer.toString(r.status()), 1, Integer::sum);
  }
}
