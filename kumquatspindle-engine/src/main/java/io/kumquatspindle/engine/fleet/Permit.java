package io.kumquatspindle.engine.fleet;

/**
 * The answer to a VM that wants to send a request to an endpoint with a limit.
 *
 * @param granted whether the request may be sent
 * @param delayMs time from now after which it may be sent, or after which a caller whose request is
 *     rejected should return, in ms
 */
public record Permit(boolean granted, long delayMs) {}
