package io.kumquatspindle.entry.request;

import java.util.concurrent.atomic.AtomicLong;

/** Tokens that a request is known to have used; 0 until an endpoint may have executed it. */
public final class TokenUsage {
  private final AtomicLong used = new AtomicLong();

  /**
   * Sets the tokens used.
   *
   * @param tokens number of tokens, at least 0
   */
  public void set(long tokens) {
    used.set(tokens);
  }

  /**
   * Returns the tokens used.
   *
   * @return number of tokens
   */
  public long tokens() {
    return used.get();
  }
}
