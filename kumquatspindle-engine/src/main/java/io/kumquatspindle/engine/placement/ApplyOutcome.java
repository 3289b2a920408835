package io.kumquatspindle.engine.placement;

/** Outcome of applying a record of the {@code decisions} stream. */
public sealed interface ApplyOutcome {

  /** The record took effect. */
  record Accepted() implements ApplyOutcome {}

  /**
   * The record was ignored; it has no effect at any VM.
   *
   * @param reason the rule that the record violates
   */
  record Ignored(String reason) implements ApplyOutcome {}

  /**
   * Returns whether the record took effect.
   *
   * @return true for {@link Accepted}
   */
  default boolean accepted() {
    return this instanceof Accepted;
  }
}
