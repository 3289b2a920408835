package io.kumquatspindle.api.fleet;

import java.util.List;

/**
 * Changes of its prompt cache that a model engine reports.
 *
 * @param epoch identity of the sequence of events; another one begins when the engine restarts
 * @param next number from which the next call reads on
 * @param lost whether events before these are missing
 * @param events the events, in order
 */
public record CacheEvents(String epoch, long next, boolean lost, List<Event> events) {

  /** Copies the list. */
  public CacheEvents {
    events = List.copyOf(events);
  }

  /**
   * A part of prompts that an engine has cached or evicted.
   *
   * @param cached whether it was cached; otherwise it was evicted
   * @param part identifier of the part
   * @param model name of the model
   */
  public record Event(boolean cached, String part, String model) {}
}
