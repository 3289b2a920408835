package io.kumquatspindle.api.fleet;

import java.util.Optional;

/**
 * An order to a model engine.
 *
 * @param load true to load, false to evict
 * @param model name of the model
 * @param adapter name of the adapter, or empty for the model itself
 * @param fence fencing number
 * @param expectedOrders orders that the engine must have accepted before, or it refuses
 */
public record ModelOrder(
    boolean load, String model, Optional<String> adapter, long fence, long expectedOrders) {}
