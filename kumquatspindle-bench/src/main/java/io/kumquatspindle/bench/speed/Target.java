package io.kumquatspindle.bench.speed;

import java.net.URI;
import java.util.Optional;

/**
 * Where a measured request is sent.
 *
 * @param name its name in results
 * @param base base URL
 * @param key the key that is shown, if any
 */
record Target(String name, URI base, Optional<String> key) {}
