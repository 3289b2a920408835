package io.kumquatspindle.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an answer that reaches the caller of another request, or with another status. */
@DisplayName("Bytes behind an answer")
class StrayBytesTests {
  private EntryFixture entry;
  private ScriptedEndpoint endpoint;

  @BeforeEach
  void start() throws Exception {
    entry = new EntryFixture();
    endpoint = new ScriptedEndpoint(r -> {});
    entry.serve(Map.of("s1", endpoint.url()));
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
    endpoint.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Type: text",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
      })
  @DisplayName("are not taken for the answer to the next call")
  void nextCall(String stray) throws Exception {
    endpoint.script(
        r -> {
          if (r.body().equals("1")) {
            r.answer(200, "", "first");
            r.send(stray);
          } else {
            r.answer(500, "", "failure of " + r.body());
          }
        });
    assertEquals("first", entry.send(entry.call("1")).body());
    HttpResponse<String> second = entry.send(entry.call("2"));
    assertEquals(500, second.statusCode(), second.body());
    assertEquals("failure of 2", second.body());
  }
}
