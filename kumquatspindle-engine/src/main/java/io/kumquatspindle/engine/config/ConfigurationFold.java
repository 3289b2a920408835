package io.kumquatspindle.engine.config;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.config.Ticket;
import io.kumquatspindle.api.platform.LogRecord;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

/**
 * The fold of the tickets stream. Immutable; all VMs that have applied the records below the same
 * offset have equal configurations.
 */
public final class ConfigurationFold {
  private final long nextOffset;
  private final Configuration configuration;

  private ConfigurationFold(long nextOffset, Configuration configuration) {
    this.nextOffset = nextOffset;
    this.configuration = configuration;
  }

  /** What became of a record. */
  public sealed interface Step {

    /**
     * The record's ticket is in force.
     *
     * @param fold the fold after the record
     * @param ticket the ticket
     */
    record Accepted(ConfigurationFold fold, Ticket ticket) implements Step {}

    /**
     * The record changes nothing.
     *
     * @param fold the fold after the record
     * @param reason why it changes nothing
     */
    record Ignored(ConfigurationFold fold, String reason) implements Step {}

    /**
     * Records before this one are missing; nothing was applied.
     *
     * @param expectedOffset offset of the first missing record
     */
    record Gap(long expectedOffset) implements Step {}

    /**
     * Applies the function of the case at hand.
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
   * Returns the fold before the first record.
   *
   * @return the fold
   */
  public static ConfigurationFold initial() {
    return new ConfigurationFold(0, Configuration.EMPTY);
  }

  /**
   * Returns the fold that a snapshot holds.
   *
   * @param nextOffset offset of the first record that has not been applied
   * @param configuration the configuration after all records before
   * @return the fold
   * @throws IllegalArgumentException if the offset is negative
   */
  public static ConfigurationFold of(long nextOffset, Configuration configuration) {
    if (nextOffset < 0) {
      throw new IllegalArgumentException("nextOffset must not be negative but is " + nextOffset);
    }
    return new ConfigurationFold(nextOffset, Objects.requireNonNull(configuration));
  }

  /**
   * Applies a record. A ticket takes effect if and only if its number is the last accepted number
   * plus one and it has no fault against the configuration so far.
   *
   * @param record a record of the tickets stream
   * @return what became of it
   */
  public Step apply(LogRecord record) {
    if (record.offset() < nextOffset) {
      return new Step.Ignored(this, "offset " + record.offset() + " was applied before");
    }
    if (record.offset() > nextOffset) {
      return new Step.Gap(nextOffset);
    }
    return TicketCodec.decode(record.value())
        .fold(this::judge, f -> ignore("not a ticket: " + String.join("; ", f)));
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

  private Step judge(Ticket ticket) {
    long last = configuration.number();
    if (ticket.number() <= last && ticket.number() > 0) {
      return ignore("number " + ticket.number() + " was taken by an earlier ticket");
    }
    if (ticket.number() != last + 1) {
      return ignore("number must be " + (last + 1) + " but is " + ticket.number());
    }
    List<String> faults = TicketValidator.faults(configuration, ticket);
    if (!faults.isEmpty()) {
      return ignore(String.join("; ", faults));
    }
    Configuration after = ConfigurationChange.apply(configuration, ticket);
    return new Step.Accepted(new ConfigurationFold(nextOffset + 1, after), ticket);
  }

  private Step ignore(String reason) {
    return new Step.Ignored(new ConfigurationFold(nextOffset + 1, configuration), reason);
  }
}
