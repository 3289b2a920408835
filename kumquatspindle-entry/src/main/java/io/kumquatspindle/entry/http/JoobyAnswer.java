package io.kumquatspindle.entry.http;

import io.jooby.Context;
import io.jooby.Sender;
import io.kumquatspindle.entry.request.CallerAnswer;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An answer that Jooby sends. */
final class JoobyAnswer implements CallerAnswer {
  private final Context context;
  private final CallerChannel channel;
  private final boolean last;

  /**
   * Creates an answer.
   *
   * @param context the request in Jooby
   * @param channel its connection
   * @param last whether the connection is closed after the answer
   */
  JoobyAnswer(Context context, CallerChannel channel, boolean last) {
    this.context = context;
    this.channel = channel;
    this.last = last;
  }

  @Override
  public void whole(int status, Map<String, String> headers, byte[] body) {
    begin(status, headers);
    context.send(body);
    closeIfLast();
  }

  @Override
  public Stream startStream(int status, Map<String, String> headers) {
    begin(status, headers);
    return new JoobyStream(context.responseSender());
  }

  @Override
  public void onGone(Runnable listener) {
    channel.onClosed(listener);
  }

  @Override
  public void ended(Runnable written) {
    channel.ended(written);
  }

  private void begin(int status, Map<String, String> headers) {
    context.setResponseCode(status);
    headers.forEach(context::setResponseHeader);
    if (last) {
      context.setResponseHeader("Connection", "close");
    }
  }

  private void closeIfLast() {
    if (last) {
      channel.closeAfterWrites();
    }
  }

  private final class JoobyStream implements Stream {
    private final Sender sender;
    private final WriteWindow window =
        new WriteWindow(TimeUnit.SECONDS.toNanos(CallerChannel.WRITE_STALL_SECONDS));

    JoobyStream(Sender sender) {
      this.sender = sender;
    }

    @Override
    public void write(byte[] part) throws IOException {
      if (!window.reserve(part.length)) {
        channel.close();
        throw new IOException("the caller takes nothing");
      }
      sender.write(part, (c, cause) -> window.written(part.length, cause));
    }

    @Override
    public void end() {
      sender.close();
      closeIfLast();
    }

    @Override
    public void close() {
      channel.closeAfterWrites();
    }
  }
}
