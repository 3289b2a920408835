package io.kumquatspindle.entry.http;

import io.jooby.Context;
import io.jooby.Sender;
import io.kumquatspindle.entry.request.CallerAnswer;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

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

    JoobyStream(Sender sender) {
      this.sender = sender;
    }

    @Override
    public void write(byte[] part) throws IOException {
      CompletableFuture<Void> written = new CompletableFuture<>();
      sender.write(part, (c, cause) -> complete(written, cause));
      try {
        written.get(CallerChannel.WRITE_STALL_SECONDS, TimeUnit.SECONDS);
      } catch (ExecutionException e) {
        throw new IOException("the caller is gone", e.getCause());
      } catch (TimeoutException e) {
        channel.close();
        throw new IOException("the caller takes nothing", e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted", e);
      }
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

    private static void complete(CompletableFuture<Void> written, Throwable cause) {
      if (cause == null) {
        written.complete(null);
      } else {
        written.completeExceptionally(cause);
      }
    }
  }
}
