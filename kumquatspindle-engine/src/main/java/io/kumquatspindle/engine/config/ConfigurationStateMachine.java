package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.platform.LogRecord;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

/**
 * Computes the configuration by applying the records of the {@code tickets} stream in order.
 * Immutable. All VMs that have applied the same records have equal configurations.
 */
public final class ConfigurationStateMachine {
  private final long nextOffset;
  private final Configuration configuration;

  private ConfigurationStateMachine(long nextOffset, Configuration configuration) {
    this.nextOffset = nextOffset;
    this.configuration = configuration;
  }

  /** Result of applying a record. */
  public sealed interface Outcome {

    /**
     * The record's ticket has been accepted and is in force.
     *
     * @param stateMachine the state machine after the record
     * @param ticket the ticket
     */
    record Accepted(ConfigurationStateMachine stateMachine, Ticket ticket) implements Outcome {}

    /**
     * The record has no effect.
     *
     * @param stateMachine the state machine after the record
     * @param reason why it has no effect
     */
    record Ignored(ConfigurationStateMachine stateMachine, String reason) implements Outcome {}

    /**
     * Records before this one are missing, so it was not applied.
     *
     * @param expectedOffset offset of the first missing record
     */
    record Gap(long expectedOffset) implements Outcome {}

    /**
     * Applies the function that matches the result.
     *
     * @param accepted applied to an accepted ticket
     * @param ignored applied to a record without effect
     * @param gap applied to a record that cannot be applied yet
     * @return the function's result
     */
    default <T> T fold(
        Function<? super Accepted, ? extends T> accepted,
        Function<? super Ignored, ? extends T> ignored,
        Function<? super Gap, ? extends T> gap) {
      if (this instanceof Accepted a) {
        return accepted.apply(a);
      }
      if (this instanceof Ignored i) {
        return ignored.apply(i);
      }
      return gap.apply((Gap) this);
    }
  }

  /**
   * Returns the state before the first record.
   *
   * @return the state machine
   */
  public static ConfigurationStateMachine initial() {
    return new ConfigurationStateMachine(0, Configuration.EMPTY);
  }

  /**
   * Restores a state machine from a snapshot.
   *
   * @param nextOffset offset of the first record that has not been applied
   * @param configuration the configuration after all earlier records
   * @return the state machine
   * @throws IllegalArgumentException if the offset is negative
   */
  public static ConfigurationStateMachine of(long nextOffset, Configuration configuration) {
    if (nextOffset < 0) {
      throw new IllegalArgumentException("nextOffset must not be negative but is " + nextOffset);
    }
    return new ConfigurationStateMachine(nextOffset, Objects.requireNonNull(configuration));
  }

  /**
   * Applies a record. A ticket is accepted if and only if its number is the last accepted number
   * plus one and it is valid for the present configuration.
   *
   * @param record a record of the tickets stream
   * @return the result
   */
  public Outcome apply(LogRecord record) {
    if (record.offset() < nextOffset) {
      return new Outcome.Ignored(this, "offset " + record.offset() + " was applied before");
    }
    if (record.offset() > nextOffset) {
      return new Outcome.Gap(nextOffset);
    }
    return TicketCodec.decode(record.value())
        .fold(this::validateAndApply, f -> ignored("not a ticket: " + String.join("; ", f)));
  }

  /**
   * Returns the configuration after all records applied so far.
   *
   * @return the configuration
   */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the offset of the next record to apply.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  private Outcome validateAndApply(Ticket ticket) {
    long lastNumber = configuration.number();
    if (ticket.number() <= lastNumber && ticket.number() > 0) {
      return ignored("number " + ticket.number() + " was taken by an earlier ticket");
    }
    if (ticket.number() != lastNumber + 1) {
      return ignored("number must be " + (lastNumber + 1) + " but is " + ticket.number());
    }
    List<String> errors = TicketValidator.validate(configuration, ticket);
    if (!errors.isEmpty()) {
      return ignored(String.join("; ", errors));
    }
    Configuration after = ConfigurationChange.apply(configuration, ticket);
    return new Outcome.Accepted(new ConfigurationStateMachine(nextOffset + 1, after), ticket);
  }

  private Outcome ignored(String reason) {
    return new Outcome.Ignored(
        new ConfigurationStateMachine(nextOffset + 1, configuration), reason);
  }
}
