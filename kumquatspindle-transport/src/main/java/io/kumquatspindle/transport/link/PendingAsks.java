package io.kumquatspindle.transport.link;

import io.kumquatspindle.api.message.Message;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** The asks of one connection that wait for a reply, by the id of the frame. */
final class PendingAsks {
  private final Map<Long, CompletableFuture<Message>> waiting = new ConcurrentHashMap<>();
  private volatile String closedReason;

  CompletableFuture<Message> add(long id, Duration timeout, EventLoop loop) {
    CompletableFuture<Message> reply = new CompletableFuture<>();
    waiting.put(id, reply);
    String reason = closedReason;
    if (reason != null) {
      fail(id, LinkException.Kind.NOT_SENT, reason);
      return reply;
    }
    try {
      Runnable expire = () -> fail(id, LinkException.Kind.TIMED_OUT, "no reply in " + timeout);
      Future<?> timer = loop.schedule(expire, timeout.toMillis(), TimeUnit.MILLISECONDS);
      // Also runs when the caller cancels the future.
      CompletableFuture<Message> unused =
          reply.whenComplete(
              (m, e) -> {
                waiting.remove(id);
                timer.cancel(false);
              });
    } catch (RejectedExecutionException e) {
      fail(id, LinkException.Kind.NOT_SENT, "I/O threads are stopped");
    }
    return reply;
  }

  // A reply whose ask has ended finds no entry; ids are never used twice on a connection.
  void complete(long id, Message message) {
    CompletableFuture<Message> reply = waiting.remove(id);
    if (reply != null) {
      reply.complete(message);
    }
  }

  void fail(long id, LinkException.Kind kind, String reason) {
    CompletableFuture<Message> reply = waiting.remove(id);
    if (reply != null) {
      reply.completeExceptionally(new LinkException(kind, reason));
    }
  }

  void close(String reason) {
    closedReason = reason;
    for (Long id : waiting.keySet()) {
      fail(id, LinkException.Kind.CLOSED, reason);
    }
  }
}
