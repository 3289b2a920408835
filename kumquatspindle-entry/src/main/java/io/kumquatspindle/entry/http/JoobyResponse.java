package io.kumquatspindle.entry.http;

import io.jooby.Context;
import io.jooby.Sender;
import io.kumquatspindle.entry.request.CallerResponse;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A response that is sent through Jooby. */
final class JoobyResponse implements CallerResponse {
  private final Context context;
  private final CallerChannel channel;
  private final boolean closeAfterResponse;

  /**
   * Creates a response.
   *
   * @param context Jooby context of the request
   * @param channel connection of the request
   * @param closeAfterResponse whether to close the connection after the response
   */
  JoobyResponse(Context context, CallerChannel channel, boolean closeAfterResponse) {
    this.context = context;
    this.channel = channel;
    this.closeAfterResponse = closeAfterResponse;
  }

  @Override
  public void send(int status, Map<String, String> headers, byte[] body) {
    startResponse(status, headers);
    context.send(body);
    closeIfRequested();
  }

  @Override
  public Stream startStream(int status, Map<String, String> headers) {
    startResponse(status, headers);
    return new JoobyStream(context.responseSender());
  }

  @Override
  public void onDisconnect(Runnable listener) {
    channel.onClosed(listener);
  }

  @Override
  public void requestEnded(Runnable onWritten) {
    channel.requestEnded(onWritten);
  }

  private void startResponse(int status, Map<String, String> headers) {
    context.setResponseCode(status);
    headers.forEach(context::setResponseHeader);
    if (closeAfterResponse) {
      context.setResponseHeader("Connection", "close");
    }
  }

  private void closeIfRequested() {
    if (closeAfterResponse) {
      channel.closeAfterFlush();
    }
  }

  private final class JoobyStream implements Stream {
    private final Sender sender;
    private final WriteWindow window =
        new WriteWindow(TimeUnit.SECONDS.toNanos(CallerChannel.WRITE_STALL_TIMEOUT_SECONDS));

    JoobyStream(Sender sender) {
      this.sender = sender;
    }

    @Override
    public void write(byte[] part) throws IOException {
      if (!window.reserve(part.length)) {
        channel.close();
        throw new IOException("caller accepted no data within the write stall timeout");
      }
      sender.write(part, (c, cause) -> window.release(part.length, cause));
    }

    @Override
    public void end() {
      sender.close();
      closeIfRequested();
    }

    @Override
    public void close() {
      channel.closeAfterFlush();
    }
  }
}
