package io.kumquatspindle.bench.speed;

import java.net.URI;
import java.util.Optional;

/**
 * Target of measured requests.
 *
 * @param name the name in results
 * @param base the base URL
 * @param key the API key to send, if any
 */
record Target(String name, URI base, Optional<String> key) {}
