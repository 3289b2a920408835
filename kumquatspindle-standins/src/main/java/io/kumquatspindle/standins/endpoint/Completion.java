package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.standins.http.EventStream;
import io.kumquatspindle.standins.http.HttpServerExchange;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

/** A running completion request of an engine; sends the response at the configured token rate. */
final class Completion {
  private static final String END_MARKER = "[DONE]";

  private final EngineOptions options;
  private final TimerService timers;
  private final HttpServerExchange exchange;
  private final CompletionRequest request;
  private final String id;
  private final EngineFaults faults;
  private final RequestRecord historyEntry;
  private final Runnable onEnd;
  private final AtomicBoolean done = new AtomicBoolean();
  private volatile Runnable removeCloseListener = () -> {};
  private EventStream stream;
  private int sent;

  Completion(
      EngineOptions options,
      TimerService timers,
      HttpServerExchange exchange,
      CompletionRequest request,
      String id,
      EngineFaults faults,
      RequestRecord historyEntry,
      Runnable onEnd) {
    this.options = options;
    this.timers = timers;
    this.exchange = exchange;
    this.request = request;
    this.id = id;
    this.faults = faults;
    this.historyEntry = historyEntry;
    this.onEnd = onEnd;
  }

  void start() {
    if (!exchange.isOpen()) {
      end("cancelled");
      return;
    }
    historyEntry.outcome("running");
    removeCloseListener = exchange.onClosed(() -> end("cancelled"));
    exchange.setHeader("x-request-id", id);
    Duration first = options.firstToken().plusMillis(faults.delayMs());
    if (request.stream()) {
      after(first, this::firstToken);
    } else {
      Duration rest = options.perToken().multipliedBy(request.tokens() - 1L);
      after(first.plus(rest), this::sendFullResponse);
    }
  }

  private void firstToken() {
    if (done.get()) {
      return;
    }
    stream = exchange.startEventStream();
    nextToken();
  }

  private void nextToken() {
    if (done.get()) {
      return;
    }
    stream.event(CompletionJson.chunk(request, id, sent));
    sent++;
    historyEntry.tokens(sent);
    if (sent == faults.silentAfterTokens()) {
      historyEntry.outcome("silent"); // Keeps running until the client disconnects.
    } else if (sent == faults.breakAfterTokens()) {
      end("broken");
      exchange.closeConnection();
    } else if (sent < request.tokens()) {
      after(options.perToken(), this::nextToken);
    } else {
      stream.event(CompletionJson.lastChunk(request, id, sent));
      stream.event(END_MARKER);
      end("finished");
      stream.end();
    }
  }

  private void sendFullResponse() {
    if (done.get()) {
      return;
    }
    if (faults.breakAfterTokens() > 0) {
      end("broken");
      exchange.closeConnection();
    } else if (faults.silentAfterTokens() > 0) {
      historyEntry.outcome("silent");
    } else {
      historyEntry.tokens(request.tokens());
      end("finished");
      exchange.reply(200, CompletionJson.fullResponse(request, id));
    }
  }

  private void end(String outcome) {
    if (done.compareAndSet(false, true)) {
      historyEntry.outcome(outcome);
      removeCloseListener.run();
      onEnd.run();
    }
  }

  private void after(Duration time, Runnable r) {
    if (time.toMillis() <= 0) {
      r.run();
    } else {
      timers.after(time, r);
    }
  }
}
