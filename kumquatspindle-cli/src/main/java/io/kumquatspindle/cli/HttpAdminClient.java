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
  /** A control responds from memory, so a call that takes longer means that it is unreachable. */
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private final OkHttpClient client = new OkHttpClient.Builder().callTimeout(CALL_TIMEOUT).build();

  @Override
  public PageResult<StatusPage> status(String address) {
    return get(address, base(address).addPathSegment("status").build(), StatusPage.class);
  }

  @Override
  public PageResult<ExplainPage> explain(String address, String model) {
    HttpUrl url = base(address).addPathSegment("explain").addQueryParameter("model", model).build();
    return get(address, url, ExplainPage.class);
  }

  private static HttpUrl.Builder base(String address) {
    return HttpUrl.get("http://" + address + "/").newBuilder();
  }

  private <T> PageResult<T> get(String address, HttpUrl url, Class<T> type) {
    try (Response r = client.newCall(new Request.Builder().url(url).build()).execute()) {
      if (r.code() != 200) {
        return PageResult.failure(address, "HTTP status " + r.code());
      }
      return PageResult.success(address, Json.decode(r.body().bytes(), type));
    } catch (IOException e) {
      return PageResult.failure(address, String.valueOf(e.getMessage()));
    }
  }
}
