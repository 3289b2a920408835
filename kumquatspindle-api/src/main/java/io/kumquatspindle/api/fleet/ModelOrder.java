package io.kumquatspindle.api.fleet;

import java.util.Optional;

/**
 * A load or evict command to a model engine.
 *
 * @param load true to load, false to evict
 * @param model name of the model
 * @param adapter name of the adapter, or empty for the model itself
 * @param fencingNumber fencing number; the engine rejects an order with a lower number than it has
 *     seen
 * @param expectedOrders number of orders that the engine must have accepted before; otherwise it
 *     rejects the order
 */
public record ModelOrder(
    boolean load,
    String model,
    Optional<String> adapter,
    long fencingNumber,
    long expectedOrders) {}
