package io.kumquatspindle.node.follow;

import io.kumquatspindle.engine.fleet.PromptQuarantine;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.port.RecordStore;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Keeps the evidence for quarantined parts of prompts in the store, so that VMs know it when all of
 * them have been restarted. It is written when a quarantine begins or grows, and what the store has
 * lost is written again in each new era. It is read only by a VM that starts while the system runs;
 * otherwise VMs learn it from each other.
 */
public final class CrashRecords {
  /** Delay before a failed call is repeated, in ms; doubled each time. */
  private static final long RETRY_DELAY_MS = 1_000;

  /**
   * Time over which the VMs spread their checks of the evidence in a new era of the store, in ms;
   * the first one writes what is missing, so that the others find it there.
   */
  private static final long NEW_ERA_SPREAD_MS = 5_000;

  /** Number of attempts of a call; the last one starts 15 s after the first. */
  private static final int MAX_ATTEMPTS = 5;

  private final NodeContext node;
  private final RecordStore store;
  private final Map<String, Set<String>> savedParts = new HashMap<>();

  /**
   * Creates an instance that has neither read nor written anything.
   *
   * @param node shared context
   * @param store the store
   */
  public CrashRecords(NodeContext node, RecordStore store) {
    this.node = node;
    this.store = store;
    node.storeEra()
        .addListener(
            (era, before) ->
                node.schedule(
                    ThreadLocalRandom.current().nextLong(NEW_ERA_SPREAD_MS),
                    () -> writeMissing(era, 1)));
  }

  /** Reads the evidence and adds it to the quarantine. */
  public void read() {
    read(1);
  }

  private void read(int attempt) {
    store.readLatest(
        RecordStore.Topic.CRASHES,
        result -> {
          if (result instanceof RecordStore.ReadResult.Records r) {
            adopt(r);
          } else if (attempt < MAX_ATTEMPTS) {
            node.schedule(retryDelayMs(attempt), () -> read(attempt + 1));
          } else {
            node.log().line("crashes_unread").field("reason", result.toString()).write();
          }
        });
  }

  private static long retryDelayMs(int attempt) {
    return RETRY_DELAY_MS << (attempt - 1);
  }

  /**
   * Writes the evidence that this VM has and the store has not: whoever wrote it may be gone, and
   * the store has come back from a copy of before that.
   */
  private void writeMissing(long era, int attempt) {
    if (era != node.storeEra().current()
        || node.promptQuarantine().evidence(node.now()).isEmpty()) {
      return;
    }
    store.readLatest(
        RecordStore.Topic.CRASHES,
        result -> {
          if (result instanceof RecordStore.ReadResult.Records r) {
            savedParts.clear();
            decode(r).forEach((crash, e) -> savedParts.put(crash, e.parts()));
            save(node.promptQuarantine().evidence(node.now()));
          } else if (attempt < MAX_ATTEMPTS) {
            node.schedule(retryDelayMs(attempt), () -> writeMissing(era, attempt + 1));
          } else {
            node.log().line("crashes_unread").field("reason", result.toString()).write();
          }
        });
  }

  private Map<String, PromptQuarantine.Evidence> decode(RecordStore.ReadResult.Records result) {
    Map<String, PromptQuarantine.Evidence> evidence = new HashMap<>();
    for (RecordStore.KeyedRecord r : result.records()) {
      r.value().flatMap(this::decode).ifPresent(e -> evidence.put(r.key(), e));
    }
    return evidence;
  }

  private void adopt(RecordStore.ReadResult.Records result) {
    Map<String, PromptQuarantine.Evidence> evidence = decode(result);
    node.log().line("crashes_read").field("crashes", evidence.size()).write();
    node.promptQuarantine().updateFromPeer(evidence, Set.of(), node.now());
  }

  private Optional<PromptQuarantine.Evidence> decode(byte[] value) {
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(value)) {
      long remainingMs = u.unpackLong() - System.currentTimeMillis();
      Set<String> parts = new HashSet<>();
      for (int n = u.unpackArrayHeader(); n > 0; n--) {
        parts.add(u.unpackString());
      }
      return remainingMs > 0
          ? Optional.of(new PromptQuarantine.Evidence(parts, remainingMs))
          : Optional.empty();
    } catch (IOException | RuntimeException e) {
      node.log().line("crash_unreadable").field("reason", String.valueOf(e.getMessage())).write();
      return Optional.empty();
    }
  }

  private static byte[] encode(PromptQuarantine.Evidence evidence) throws IOException {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      // The time of day, since the reader's steady clock starts with its process.
      p.packLong(System.currentTimeMillis() + evidence.remainingMs());
      p.packArrayHeader(evidence.parts().size());
      for (String part : evidence.parts()) {
        p.packString(part);
      }
      return p.toByteArray();
    }
  }

  /**
   * Writes the evidence that has changed since this VM wrote it.
   *
   * @param evidence the evidence, by crash
   */
  public void save(Map<String, PromptQuarantine.Evidence> evidence) {
    savedParts.keySet().retainAll(evidence.keySet());
    evidence.forEach(
        (crash, e) -> {
          if (!e.parts().equals(savedParts.put(crash, e.parts()))) {
            save(crash, e, 1);
          }
        });
  }

  private void save(String crash, PromptQuarantine.Evidence evidence, int attempt) {
    byte[] value;
    try {
      value = encode(evidence);
    } catch (IOException e) {
      throw new IllegalStateException("could not encode evidence", e);
    }
    store.append(
        RecordStore.Topic.CRASHES,
        crash,
        value,
        success -> {
          if (!success && attempt < MAX_ATTEMPTS) {
            node.schedule(retryDelayMs(attempt), () -> save(crash, evidence, attempt + 1));
          } else if (!success) {
            node.log().line("crash_unsaved").field("crash", crash).write();
          }
        });
  }
}
