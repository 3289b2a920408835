package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.api.time.TimerService;
import io.kumquatspindle.standins.http.AnswerStream;
import io.kumquatspindle.standins.http.Exchange;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

/** One running request of an engine, which sends its answer at the engine's pace. */
final class Completion {
  private static final String END_MARKER = "[DONE]";

  private final EngineOptions options;
  private final TimerService timers;
  private final Exchange exchange;
  private final CompletionRequest request;
  private final String id;
  private final EngineFaults faults;
  private final RequestRecord log;
  private final Runnable ended;
  private final AtomicBoolean over = new AtomicBoolean();
  private volatile Runnable endSubscription = () -> {};
  private AnswerStream stream;
  private int sent;

  Completion(
      EngineOptions options,
      TimerService timers,
      Exchange exchange,
      CompletionRequest request,
      String id,
      EngineFaults faults,
      RequestRecord log,
      Runnable ended) {
    this.options = options;
    this.timers = timers;
    this.exchange = exchange;
    this.request = request;
    this.id = id;
    this.faults = faults;
    this.log = log;
    this.ended = ended;
  }

  void start() {
    if (!exchange.isOpen()) {
      end("cancelled");
      return;
    }
    log.outcome("running");
    endSubscription = exchange.onClosed(() -> end("cancelled"));
    exchange.set("x-request-id", id);
    Duration first = options.firstToken().plusMillis(faults.delayMs());
    if (request.stream()) {
      after(first, this::firstToken);
    } else {
      Duration rest = options.perToken().multipliedBy(request.tokens() - 1L);
      after(first.plus(rest), this::answerWhole);
    }
  }

  private void firstToken() {
    if (over.get()) {
      return;
    }
    stream = exchange.stream();
    nextToken();
  }

  private void nextToken() {
    if (over.get()) {
      return;
    }
    stream.event(Chunks.delta(request, id, sent));
    sent++;
    log.tokens(sent);
    if (sent == faults.silentAfterTokens()) {
      log.outcome("silent"); // Runs on until the client gives up.
    } else if (sent == faults.breakAfterTokens()) {
      end("broken");
      exchange.breakConnection();
    } else if (sent < request.tokens()) {
      after(options.perToken(), this::nextToken);
    } else {
      stream.event(Chunks.last(request, id, sent));
      stream.event(END_MARKER);
      end("finished");
      stream.end();
    }
  }

  private void answerWhole() {
    if (over.get()) {
      return;
    }
    if (faults.breakAfterTokens() > 0) {
      end("broken");
      exchange.breakConnection();
    } else if (faults.silentAfterTokens() > 0) {
      log.outcome("silent");
    } else {
      log.tokens(request.tokens());
      end("finished");
      exchange.reply(200, Chunks.whole(request, id));
    }
  }

  private void end(String outcome) {
    if (over.compareAndSet(false, true)) {
      log.outcome(outcome);
      endSubscription.run();
      ended.run();
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
