package io.kumquatspindle.node.peer;

import io.kumquatspindle.engine.fleet.PromptQuarantine;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes messages as MessagePack: a number for the kind, then the fields in order. */
final class PeerCodec {
  private static final int DIGEST = 1;
  private static final int WANT = 2;
  private static final int CHANGED = 3;
  private static final int KNOWN = 4;
  private static final int CRASH = 5;

  private PeerCodec() {}

  static byte[] encode(NodeMessage message) throws IOException {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      if (message instanceof NodeMessage.Digest d) {
        p.packInt(DIGEST).packLong(d.process()).packString(d.address()).packString(d.domain());
        p.packLong(d.configuration()).packBoolean(d.deaf()).packMapHeader(d.consumed().size());
        for (Map.Entry<String, Double> e : d.consumed().entrySet()) {
          p.packString(e.getKey()).packDouble(e.getValue());
        }
        p.packMapHeader(d.models().size());
        for (Map.Entry<String, Long> e : d.models().entrySet()) {
          p.packString(e.getKey()).packLong(e.getValue());
        }
        packCounts(p, d.running());
        packCounts(p, d.queued());
        p.packLong(d.fence()).packArrayHeader(d.partitions().size());
        for (int partition : d.partitions()) {
          p.packInt(partition);
        }
        p.packInt(d.heard()).packMapHeader(d.crashes().size());
        for (Map.Entry<String, PromptQuarantine.Evidence> e : d.crashes().entrySet()) {
          p.packString(e.getKey()).packLong(e.getValue().remainingMs());
          packTexts(p, e.getValue().parts());
        }
        packTexts(p, d.vouched());
      } else if (message instanceof NodeMessage.Known k) {
        packTexts(p.packInt(KNOWN), k.addresses());
      } else if (message instanceof NodeMessage.Crash c) {
        packTexts(p.packInt(CRASH).packString(c.endpoint()), c.parts());
      } else if (message instanceof NodeMessage.Want w) {
        p.packInt(WANT).packString(w.endpoint()).packString(w.model()).packString(w.adapter());
        p.packLong(w.goalInMs());
      } else if (message instanceof NodeMessage.Changed c) {
        p.packInt(CHANGED).packString(c.endpoint()).packString(c.model()).packString(c.adapter());
        p.packInt(c.kind().ordinal()).packBoolean(c.fromStore()).packLong(c.forMs());
      }
      return p.toByteArray();
    }
  }

  private static void packCounts(MessageBufferPacker p, Map<String, Integer> counts)
      throws IOException {
    p.packMapHeader(counts.size());
    for (Map.Entry<String, Integer> e : counts.entrySet()) {
      p.packString(e.getKey()).packInt(e.getValue());
    }
  }

  private static void packTexts(MessagePacker p, Set<String> texts) throws IOException {
    p.packArrayHeader(texts.size());
    for (String text : texts) {
      p.packString(text);
    }
  }

  private static Set<String> unpackTexts(MessageUnpacker u) throws IOException {
    Set<String> texts = new HashSet<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      texts.add(u.unpackString());
    }
    return texts;
  }

  private static Map<String, Integer> unpackCounts(MessageUnpacker u) throws IOException {
    Map<String, Integer> counts = new HashMap<>();
    for (int n = u.unpackMapHeader(); n > 0; n--) {
      counts.put(u.unpackString(), u.unpackInt());
    }
    return counts;
  }

  static NodeMessage decode(byte[] bytes) throws IOException {
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
      int kind = u.unpackInt();
      return switch (kind) {
        case DIGEST -> unpackDigest(u);
        case WANT ->
            new NodeMessage.Want(
                u.unpackString(), u.unpackString(), u.unpackString(), u.unpackLong());
        case CHANGED -> unpackChanged(u);
        case KNOWN -> new NodeMessage.Known(unpackTexts(u));
        case CRASH -> new NodeMessage.Crash(u.unpackString(), unpackTexts(u));
        default -> throw new IOException("unknown kind of peer message: " + kind);
      };
    }
  }

  private static NodeMessage unpackDigest(MessageUnpacker u) throws IOException {
    long process = u.unpackLong();
    String address = u.unpackString();
    String domain = u.unpackString();
    long configuration = u.unpackLong();
    boolean deaf = u.unpackBoolean();
    Map<String, Double> consumed = new HashMap<>();
    for (int n = u.unpackMapHeader(); n > 0; n--) {
      consumed.put(u.unpackString(), u.unpackDouble());
    }
    Map<String, Long> models = new HashMap<>();
    for (int n = u.unpackMapHeader(); n > 0; n--) {
      models.put(u.unpackString(), u.unpackLong());
    }
    Map<String, Integer> running = unpackCounts(u);
    Map<String, Integer> queued = unpackCounts(u);
    long fence = u.unpackLong();
    Set<Integer> partitions = new HashSet<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      partitions.add(u.unpackInt());
    }
    int heard = u.unpackInt();
    Map<String, PromptQuarantine.Evidence> crashes = new HashMap<>();
    Set<String> vouched = Set.of();
    // VMs of an earlier version, which run beside this one during an update, send no more.
    if (u.hasNext()) {
      for (int n = u.unpackMapHeader(); n > 0; n--) {
        String crash = u.unpackString();
        long remainingMs = u.unpackLong();
        crashes.put(crash, new PromptQuarantine.Evidence(unpackTexts(u), remainingMs));
      }
      vouched = unpackTexts(u);
    }
    return new NodeMessage.Digest(
        process,
        address,
        domain,
        configuration,
        deaf,
        consumed,
        models,
        running,
        queued,
        fence,
        partitions,
        heard,
        crashes,
        vouched);
  }

  private static NodeMessage unpackChanged(MessageUnpacker u) throws IOException {
    String endpoint = u.unpackString();
    String model = u.unpackString();
    String adapter = u.unpackString();
    int kind = u.unpackInt();
    NodeMessage.Changed.Kind[] kinds = NodeMessage.Changed.Kind.values();
    if (kind < 0 || kind >= kinds.length) {
      throw new IOException("unknown kind of change: " + kind);
    }
    return new NodeMessage.Changed(
        endpoint, model, adapter, kinds[kind], u.unpackBoolean(), u.unpackLong());
  }
}
