package io.kumquatspindle.engine.placement;

/** Tells whether a record of the {@code decisions} stream took effect. */
public sealed interface Verdict {

  /** The record took effect. */
  record Accepted() implements Verdict {}

  /**
   * The record has no effect at any VM.
   *
   * @param reason the rule that it failed
   */
  record Ignored(String reason) implements Verdict {}

  /**
   * Tells whether the record took effect.
   *
   * @return whether it did
   */
  default boolean accepted() {
    return this instanceof Accepted;
  }
}
