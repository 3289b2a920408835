package io.kumquatspindle.bench.slopes;

import io.kumquatspindle.bench.client.ChatClient;
import io.kumquatspindle.bench.processes.Pause;
import io.kumquatspindle.bench.processes.SiteVm;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Measures the startup time of a VM, depending on the size of the state that it reads. */
final class StartupTimes {
  private static final int VMS = 3;
  private static final int ENDPOINTS = 30;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(1);
  private static final long POLL_MS = 5;
  private static final String READY = "/health/ready";

  private StartupTimes() {}

  /**
   * Startup time of a VM, counted from the start of its processes.
   *
   * @param artifacts the number of models and adapters in the configuration
   * @param from the source of the state, {@code log} or {@code peers}
   * @param controlMs the time until the control process was ready
   * @param entryMs the time until the entry process was ready as well
   */
  record Result(int artifacts, String from, long controlMs, long entryMs) {}

  static List<Result> measure(int artifacts) throws IOException {
    Row parameters = new Row(VMS, VMS, artifacts, ENDPOINTS, 0, 0);
    try (Fleet fleet = Fleet.start(parameters, true)) {
      Result log = restart(fleet, artifacts, "log");
      setFaults(fleet.site().standInUrl("log"), "{\"out\":true}");
      Result peers = restart(fleet, artifacts, "peers");
      setFaults(fleet.site().standInUrl("log"), "{}");
      return List.of(log, peers);
    }
  }

  private static Result restart(Fleet fleet, int artifacts, String from) throws IOException {
    SiteVm vm = fleet.site().vms().get(VMS - 1);
    vm.kill();
    vm.control().awaitExit(TIMEOUT);
    vm.entry().awaitExit(TIMEOUT);
    long start = System.nanoTime();
    vm.startControl();
    vm.startEntry();
    try (ChatClient client = new ChatClient(PAGE_TIMEOUT)) {
      awaitReady(client, vm.controlAdminUrl().resolve(READY), start);
      long control = System.nanoTime();
      awaitReady(client, vm.entryAdminUrl().resolve(READY), start);
      long entry = System.nanoTime();
      return new Result(artifacts, from, millis(control - start), millis(entry - start));
    }
  }

  private static void awaitReady(ChatClient client, URI page, long start) throws IOException {
    while (!isReady(client, page)) {
      if (System.nanoTime() - start > TIMEOUT.toNanos()) {
        throw new IOException(page + " is not ready after " + TIMEOUT);
      }
      Pause.sleep(Duration.ofMillis(POLL_MS));
    }
  }

  private static boolean isReady(ChatClient client, URI page) {
    try {
      return client.get(page, Optional.empty()).status() == 200;
    } catch (IOException e) {
      return false; // The process does not listen yet.
    }
  }

  private static void setFaults(URI standIn, String json) throws IOException {
    send("POST", standIn.resolve("/faults"), json);
  }

  /** Sends a JSON document to a stand-in. */
  static void send(String method, URI url, String json) throws IOException {
    HttpRequest request =
        HttpRequest.newBuilder(url)
            .method(method, HttpRequest.BodyPublishers.ofString(json))
            .build();
    try {
      HttpResponse<String> r =
          HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
      if (r.statusCode() != 200) {
        throw new IOException(url + " returned status " + r.statusCode() + ": " + r.body());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting for a response", e);
    }
  }

  private static long millis(long nanos) {
    return nanos / 1_000_000;
  }
}
