package io.kumquatspindle.node.front;

import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.engine.fleet.Endpoint;
import io.kumquatspindle.engine.fleet.PromptQuarantine;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.follow.CrashRecords;
import io.kumquatspindle.node.peer.NodeMessage;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Applies the quarantine of prompt parts to the requests of this VM: collects the evidence, tells
 * the other VMs of it, and ends the requests that wait when a part of theirs is quarantined.
 */
final class PromptGuard implements PromptQuarantine.Listener {
  private final NodeContext node;
  private final PromptQuarantine quarantine;
  private final Consumer<NodeMessage> broadcast;
  private final CrashRecords records;
  private final Set<Exchange> watched = new HashSet<>();

  /**
   * Creates the guard and registers it with the quarantine.
   *
   * @param node shared context
   * @param broadcast sends a message to all other VMs
   * @param records keeps the evidence in the store
   */
  PromptGuard(NodeContext node, Consumer<NodeMessage> broadcast, CrashRecords records) {
    this.node = node;
    this.quarantine = node.promptQuarantine();
    this.broadcast = broadcast;
    this.records = records;
    quarantine.setListener(this);
  }

  /** Notifies a request until {@link #unwatch} when one of its parts is quarantined. */
  void watch(Exchange exchange) {
    if (!exchange.head().promptParts().isEmpty()) {
      watched.add(exchange);
    }
  }

  void unwatch(Exchange exchange) {
    watched.remove(exchange);
  }

  /** Returns how long a prompt remains rejected, in ms, or empty if it is not. */
  OptionalLong remainingMs(RequestHead head) {
    return quarantine.remainingMs(head.promptParts(), node.now());
  }

  /**
   * Returns whether a shared part of the prompt may be the one that crashed an endpoint. The part
   * of its own tells nothing yet: all requests that were at the endpoint have one.
   */
  boolean suspects(RequestHead head) {
    return quarantine.findSuspected(head.sharedParts(), node.now()).isPresent();
  }

  /** Records that an endpoint broke off a response that had just begun. */
  void onCrash(Endpoint endpoint, RequestHead head) {
    long now = node.now();
    Set<String> unproven = Set.copyOf(quarantine.unproven(head.promptParts(), now));
    if (unproven.isEmpty()) {
      return;
    }
    String crashed = endpoint.instance();
    node.log()
        .line("prompt_suspected")
        .field("endpoint", endpoint.id())
        .field("parts", String.join(",", unproven))
        .write();
    node.metrics().counter("prompt_crashes_total").inc();
    quarantine.recordCrash(crashed, unproven, now);
    broadcast.accept(new NodeMessage.Crash(crashed, unproven));
    Map<String, PromptQuarantine.Evidence> evidence = quarantine.evidence(now);
    if (evidence.containsKey(crashed)) {
      records.save(evidence);
    }
  }

  /** Records that a response has come far enough to prove its prompt sound. */
  void onSound(RequestHead head) {
    quarantine.recordSound(head.sharedParts(), node.now());
    quarantine.recordOwnSound(head.sessionPart(), node.now());
  }

  @Override
  public void onQuarantined(Set<String> parts) {
    node.log().line("prompt_quarantined").field("parts", String.join(",", parts)).write();
    node.metrics().counter("prompts_quarantined_total").inc();
    Set.copyOf(watched).stream()
        .filter(e -> e.head().promptParts().containsAll(parts))
        .forEach(Exchange::onPromptQuarantined);
  }

  @Override
  public void onReleased(Set<String> parts) {
    node.log().line("prompt_released").field("parts", String.join(",", parts)).write();
  }
}
