package io.kumquatspindle.bench.measure;

import io.kumquatspindle.bench.processes.TestSite;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/** Injects the fault of a run and clears it. */
final class FaultInjector {
  private static final String STORE_AT_A_THIRD = "{\"speedFactor\":0.333}";

  private final TestSite site;
  private final Fault fault;
  private final HttpClient http = HttpClient.newHttpClient();

  FaultInjector(TestSite site, Fault fault) {
    this.site = site;
    this.fault = fault;
  }

  void inject() throws IOException, InterruptedException {
    switch (fault) {
      case DOMAIN_CUT -> site.links().isolate(site.domains().get(0));
      case LOG_OUT -> post("log", "{\"out\":true}");
      case SLOW_STORE -> post("store", STORE_AT_A_THIRD);
      default -> {}
    }
  }

  void clear() throws IOException, InterruptedException {
    switch (fault) {
      case DOMAIN_CUT -> site.links().heal();
      case LOG_OUT -> post("log", "{}");
      case SLOW_STORE -> post("store", "{}");
      default -> {}
    }
  }

  private void post(String standIn, String body) throws IOException, InterruptedException {
    URI uri = site.standInUrl(standIn).resolve("/faults");
    HttpRequest request =
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofString(body)).build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new IOException(standIn + " rejected the fault settings: " + response.body());
    }
  }
}
