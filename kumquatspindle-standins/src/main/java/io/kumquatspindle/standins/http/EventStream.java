package io.kumquatspindle.standins.http;

import io.jooby.Sender;
import io.kumquatspindle.api.json.Json;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** A response in progress that consists of server-sent events. */
public final class EventStream {
  private static final byte[] PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);
  private static final byte[] SUFFIX = "\n\n".getBytes(StandardCharsets.UTF_8);

  private final Sender sender;
  private final Connection connection;

  EventStream(Sender sender, Connection connection) {
    this.sender = sender;
    this.connection = connection;
  }

  /**
   * Sends a JSON value as one event.
   *
   * @param json the value
   */
  public void event(Object json) {
    send(Json.encode(json));
  }

  /**
   * Sends a text as one event.
   *
   * @param text the text, without line breaks
   */
  public void event(String text) {
    send(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Ends the response. */
  public void end() {
    if (connection.isOpen()) {
      sender.close();
    }
  }

  private void send(byte[] data) {
    if (connection.isOpen()) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(PREFIX);
      out.writeBytes(data);
      out.writeBytes(SUFFIX);
      sender.write(out.toByteArray(), (ctx, cause) -> {});
    }
  }
}
