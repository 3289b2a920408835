package io.kumquatspindle.api.fleet;

import java.util.Optional;

/**
 * A service: a group of interchangeable endpoints.
 *
 * @param name name of the service
 * @param engine properties of its model engines; empty for a plain service
 */
public record ServiceInfo(String name, Optional<EngineInfo> engine) {}
