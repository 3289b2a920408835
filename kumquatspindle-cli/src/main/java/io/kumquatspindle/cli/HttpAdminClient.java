package io.kumquatspindle.cli;

import io.kumquatspindle.api.admin.ExplainPage;
import io.kumquatspindle.api.admin.StatusPage;
import io.kumquatspindle.api.json.Json;
import java.io.IOException;
import java.time.Duration;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Reads admin pages over HTTP. */
final class HttpAdminClient implements AdminClient {
  /** A control answers from memory, so a longer call means that it is unreachable. */
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private final OkHttpClient client = new OkHttpClient.Builder().callTimeout(CALL_TIMEOUT).build();

  @Override
  public Answer<StatusPage> status(String address) {
    return get(address, base(address).addPathSegment("status").build(), StatusPage.class);
  }

  @Override
  public Answer<ExplainPage> explain(String address, String model) {
    HttpUrl url = base(address).addPathSegment("explain").addQueryParameter("model", model).build();
    return get(address, url, ExplainPage.class);
  }

  private static HttpUrl.Builder base(String address) {
    return HttpUrl.get("http://" + address + "/").newBuilder();
  }

  private <T> Answer<T> get(String address, HttpUrl url, Class<T> type) {
    try (Response r = client.newCall(new Request.Builder().url(url).build()).execute()) {
      if (r.code() != 200) {
        return Answer.none(address, "HTTP status " + r.code());
      }
      return Answer.of(address, Json.decode(r.body().bytes(), type));
    } catch (IOException e) {
      return Answer.none(address, String.valueOf(e.getMessage()));
    }
  }
}
