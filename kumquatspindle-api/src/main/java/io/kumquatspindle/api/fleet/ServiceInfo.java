package io.kumquatspindle.api.fleet;

import java.util.Optional;

/**
 * A service.
 *
 * @param name name of the service
 * @param engine empty for a plain service
 */
public record ServiceInfo(String name, Optional<EngineInfo> engine) {}
