package io.kumquatspindle.bench.slopes;

import io.kumquatspindle.bench.caller.Caller;
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

/** Measures how long a new VM takes until it serves, by the size of the state that it reads. */
final class ServeTimes {
  private static final int VMS = 3;
  private static final int ENDPOINTS = 30;
  private static final Duration LIMIT = Duration.ofSeconds(30);
  private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(1);
  private static final long POLL_MS = 5;
  private static final String READY = "/health/ready";

  private ServeTimes() {}

  /**
   * How long a VM took from the start of its processes.
   *
   * @param artifacts models and adapters of the configuration
   * @param from where the state came from
   * @param controlMs until the control program was ready
   * @param entryMs until the entry program was ready, too
   */
  record Result(int artifacts, String from, long controlMs, long entryMs) {}

  static List<Result> measure(int artifacts) throws IOException {
    Row row = new Row(VMS, VMS, artifacts, ENDPOINTS, 0, 0);
    try (Fleet fleet = Fleet.start(row, true)) {
      Result log = restart(fleet, artifacts, "log");
      fault(fleet.site().url("log"), "{\"out\":true}");
      Result peers = restart(fleet, artifacts, "peers");
      fault(fleet.site().url("log"), "{}");
      return List.of(log, peers);
    }
  }

  private static Result restart(Fleet fleet, int artifacts, String from) throws IOException {
    SiteVm vm = fleet.site().vms().get(VMS - 1);
    vm.kill();
    vm.control().awaitExit(LIMIT);
    vm.entry().awaitExit(LIMIT);
    long start = System.nanoTime();
    vm.startControl();
    vm.startEntry();
    try (Caller caller = new Caller(PAGE_TIMEOUT)) {
      awaitReady(caller, vm.controlAdmin().resolve(READY), start);
      long control = System.nanoTime();
      awaitReady(caller, vm.entryAdmin().resolve(READY), start);
      long entry = System.nanoTime();
      return new Result(artifacts, from, millis(control - start), millis(entry - start));
    }
  }

  private static void awaitReady(Caller caller, URI page, long start) throws IOException {
    while (!ready(caller, page)) {
      if (System.nanoTime() - start > LIMIT.toNanos()) {
        throw new IOException(page + " is not ready after " + LIMIT);
      }
      Pause.of(Duration.ofMillis(POLL_MS));
    }
  }

  private static boolean ready(Caller caller, URI page) {
    try {
      return caller.get(page, Optional.empty()).status() == 200;
    } catch (IOException e) {
      return false; // Not listening yet.
    }
  }

  private static void fault(URI standIn, String json) throws IOException {
    send("POST", standIn.resolve("/faults"), json);
  }

  /** Sends JSON to a stand-in. */
  static void send(String method, URI url, String json) throws IOException {
    HttpRequest request =
        HttpRequest.newBuilder(url)
            .method(method, HttpRequest.BodyPublishers.ofString(json))
            .build();
    try {
      HttpResponse<String> r =
          HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
      if (r.statusCode() != 200) {
        throw new IOException(url + " answered " + r.statusCode() + ": " + r.body());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private static long millis(long nanos) {
    return nanos / 1_000_000;
  }
}
