package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.KeyHash;

/**
 * A caller's key, known only by its hash.
 *
 * @param hash the hash of the key
 * @param customer the customer that the key stands for
 * @param withdrawn whether the key has been withdrawn
 */
public record KeySpec(KeyHash hash, CustomerName customer, boolean withdrawn) {}
