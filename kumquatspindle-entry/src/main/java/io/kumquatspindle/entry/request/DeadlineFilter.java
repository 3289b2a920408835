package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.error.ErrorKind;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Sets the deadline from {@code X-Request-Timeout-Ms}, or the default one from the settings. */
final class DeadlineFilter implements RequestFilter {
  private static final String HEADER = "x-request-timeout-ms";
  private static final int MAX_DIGITS = 12;

  private final Duration defaultTimeout;
  private final Duration maxTimeout;

  DeadlineFilter(Duration defaultTimeout, Duration maxTimeout) {
    this.defaultTimeout = defaultTimeout;
    this.maxTimeout = maxTimeout;
  }

  @Override
  public void handle(RequestContext context, Consumer<RequestContext> next) {
    Optional<String> header = context.request().header(HEADER).map(String::strip);
    if (header.isPresent() && !isValid(header.get())) {
      String message = "X-Request-Timeout-Ms must be a whole number of milliseconds, at least 1";
      context.fail(RequestError.of(ErrorKind.MALFORMED_REQUEST, message));
      return;
    }
    long timeout = header.map(Long::parseLong).orElse(defaultTimeout.toMillis());
    long bounded = Math.min(timeout, maxTimeout.toMillis());
    next.accept(context.withDeadline(context.request().arrivedMs() + bounded));
  }

  private static boolean isValid(String s) {
    return !s.isEmpty()
        && s.length() <= MAX_DIGITS
        && s.chars().allMatch(c -> c >= '0' && c <= '9')
        && Long.parseLong(s) > 0;
  }
}
