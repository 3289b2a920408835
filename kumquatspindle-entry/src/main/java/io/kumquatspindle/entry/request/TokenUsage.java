package io.kumquatspindle.entry.request;

import java.util.concurrent.atomic.AtomicLong;

/** Tokens that a request has used, as far as known; 0 until an endpoint may have run it. */
public final class TokenUsage {
  private final AtomicLong used = new AtomicLong();

  /**
   * Sets the tokens used.
   *
   * @param tokens tokens, at least 0
   */
  public void set(long tokens) {
    used.set(tokens);
  }

  /**
   * Returns the tokens used.
   *
   * @return tokens
   */
  public long tokens() {
    return used.get();
  }
}
