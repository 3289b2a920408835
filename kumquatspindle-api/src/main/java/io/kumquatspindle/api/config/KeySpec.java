package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.KeyHash;

/**
 * A caller's API key, stored as its hash only.
 *
 * @param hash the hash of the key
 * @param customer the customer that the key belongs to
 * @param withdrawn whether the key has been revoked
 */
public record KeySpec(KeyHash hash, CustomerName customer, boolean withdrawn) {}
