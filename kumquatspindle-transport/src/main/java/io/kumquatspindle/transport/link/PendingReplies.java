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

/** The requests of one connection that await a reply, keyed by frame id. */
final class PendingReplies {
  private final Map<Long, CompletableFuture<Message>> repliesById = new ConcurrentHashMap<>();
  private volatile String closedReason;

  CompletableFuture<Message> add(long id, Duration timeout, EventLoop loop) {
    CompletableFuture<Message> reply = new CompletableFuture<>();
    repliesById.put(id, reply);
    String reason = closedReason;
    if (reason != null) {
      fail(id, LinkException.Kind.NOT_SENT, reason);
      return reply;
    }
    try {
      Runnable onTimeout =
          () -> fail(id, LinkException.Kind.TIMED_OUT, "no reply within " + timeout);
      Future<?> timer = loop.schedule(onTimeout, timeout.toMillis(), TimeUnit.MILLISECONDS);
      // Also cleans up when the caller cancels the future.
      CompletableFuture<Message> unused =
          reply.whenComplete(
              (m, e) -> {
                repliesById.remove(id);
                timer.cancel(false);
              });
    } catch (RejectedExecutionException e) {
      fail(id, LinkException.Kind.NOT_SENT, "I/O threads are stopped");
    }
    return reply;
  }

  // Discards a reply to a request that has already completed. Ids are never reused on a connection.
  void complete(long id, Message message) {
    CompletableFuture<Message> reply = repliesById.remove(id);
    if (reply != null) {
      reply.complete(message);
    }
  }

  void fail(long id, LinkException.Kind kind, String reason) {
    CompletableFuture<Message> reply = repliesById.remove(id);
    if (reply != null) {
      reply.completeExceptionally(new LinkException(kind, reason));
    }
  }

  void close(String reason) {
    closedReason = reason;
    for (Long id : repliesById.keySet()) {
      fail(id, LinkException.Kind.CLOSED, reason);
    }
  }
}
