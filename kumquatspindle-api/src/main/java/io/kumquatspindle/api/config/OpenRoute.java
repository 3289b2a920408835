package io.kumquatspindle.api.config;

import io.kumquatspindle.api.model.ServiceName;

/**
 * A route that callers can use without a key.
 *
 * @param path the exact path, for example {@code /public/status}
 * @param service the plain service that handles the requests
 * @param servicePath the path at the service
 */
public record OpenRoute(String path, ServiceName service, String servicePath) {}
