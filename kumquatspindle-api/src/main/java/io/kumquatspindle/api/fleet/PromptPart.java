package io.kumquatspindle.api.fleet;

/**
 * A part of a prompt, which several requests may have in common.
 *
 * @param id identifier of the part
 * @param tokens length of the part, in tokens; 0 if unknown
 */
public record PromptPart(String id, long tokens) {}
