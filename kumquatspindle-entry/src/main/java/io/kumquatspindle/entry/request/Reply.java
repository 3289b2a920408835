package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.model.ExecutionStatus;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Ends a request exactly once: the first response or error is sent, later ones have no effect. It
 * also prevents an error from saying "not run" if an attempt may have executed the request.
 */
public final class Reply {
  private enum State {
    OPEN,
    STREAMING,
    ENDED
  }

  private final CallerResponse response;
  private final String requestId;
  private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);
  private final List<Consumer<Outcome>> listeners = new CopyOnWriteArrayList<>();
  private final Runnable onWritten;
  private volatile boolean mayHaveRun;
  private volatile CallerResponse.Stream stream;

  /**
   * Creates an open reply.
   *
   * @param response writes the HTTP response
   * @param requestId id of the request
   * @param onWritten called when the request has ended and its response has been written
   */
  public Reply(CallerResponse response, String requestId, Runnable onWritten) {
    this.onWritten = onWritten;
    this.response = response;
    this.requestId = requestId;
  }

  /**
   * Registers a listener for the end of the request.
   *
   * @param listener called once, before the connection processes its next request
   */
  public void onEnd(Consumer<Outcome> listener) {
    listeners.add(listener);
  }

  /**
   * Registers a listener for the caller closing its connection before the request has ended.
   *
   * @param listener called at most once
   */
  public void onDisconnect(Runnable listener) {
    response.onDisconnect(
        () -> {
          if (!isEnded()) {
            listener.run();
          }
        });
  }

  /** Records that an attempt may have executed the request, so that no error says "not run". */
  public void markMayHaveRun() {
    mayHaveRun = true;
  }

  /**
   * Returns whether the request has ended.
   *
   * @return whether the request has ended
   */
  public boolean isEnded() {
    return state.get() == State.ENDED;
  }

  /**
   * Sends an endpoint's complete response.
   *
   * @param status HTTP status
   * @param headers response headers
   * @param body response body
   * @return whether the request was still open
   */
  public boolean respond(int status, Map<String, String> headers, byte[] body) {
    if (!state.compareAndSet(State.OPEN, State.ENDED)) {
      return false;
    }
    response.send(status, withId(headers), body);
    finish(new Outcome(Outcome.OK, ExecutionStatus.RAN, status));
    return true;
  }

  /**
   * Responds with an error. If a stream has started, sends an error event and closes the
   * connection.
   *
   * @param error why
   * @return whether the request was still open or streaming
   */
  public boolean fail(RequestError error) {
    RequestError reported = mayHaveRun ? error.withPossibleExecution() : error;
    if (state.compareAndSet(State.OPEN, State.ENDED)) {
      byte[] body = ErrorBody.json(reported, requestId);
      response.send(reported.kind().status(), withId(ErrorBody.headers(reported)), body);
      finish(outcome(reported));
      return true;
    }
    if (state.compareAndSet(State.STREAMING, State.ENDED)) {
      failStream(reported.withPossibleExecution());
      return true;
    }
    return false;
  }

  /**
   * Starts a streamed response.
   *
   * @param headers response headers
   * @return whether the request was still open
   */
  public boolean startStream(Map<String, String> headers) {
    if (!state.compareAndSet(State.OPEN, State.STREAMING)) {
      return false;
    }
    markMayHaveRun();
    stream = response.startStream(200, withId(headers));
    return true;
  }

  /**
   * Writes a part of a streamed response. Blocks while too many earlier bytes wait to be sent.
   *
   * @param part the part
   * @throws IOException if writing an earlier part failed, or the caller accepts no data for too
   *     long
   */
  public void write(byte[] part) throws IOException {
    stream.write(part);
  }

  /** Ends a streamed response that is complete. */
  public void endStream() {
    if (state.compareAndSet(State.STREAMING, State.ENDED)) {
      stream.end();
      finish(new Outcome(Outcome.OK, ExecutionStatus.RAN, 200));
    }
  }

  /** Ends a request whose caller has disconnected. */
  public void callerDisconnected() {
    ExecutionStatus ran = mayHaveRun ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_RUN;
    if (state.getAndSet(State.ENDED) != State.ENDED) {
      Optional.ofNullable(stream).ifPresent(CallerResponse.Stream::close);
      finish(new Outcome(Outcome.CALLER_LEFT, ran, 0));
    }
  }

  private void failStream(RequestError error) {
    String json = new String(ErrorBody.json(error, requestId), StandardCharsets.UTF_8);
    String event = "event: error\ndata: " + json + "\n\n";
    try {
      stream.write(event.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // The caller has disconnected or stalled, so the connection is only closed.
    } finally {
      stream.close();
      finish(outcome(error));
    }
  }

  private static Outcome outcome(RequestError error) {
    String kind = error.kind().name().toLowerCase(Locale.ROOT);
    return new Outcome(kind, error.kind().executionStatus(), 0);
  }

  private Map<String, String> withId(Map<String, String> headers) {
    Map<String, String> all = new TreeMap<>(headers);
    all.put("X-Request-Id", requestId);
    return all;
  }

  private void finish(Outcome outcome) {
    try {
      listeners.forEach(l -> l.accept(outcome));
    } finally {
      response.requestEnded(onWritten);
    }
  }
}
