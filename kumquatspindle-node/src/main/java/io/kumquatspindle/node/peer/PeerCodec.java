package io.kumquatspindle.node.peer;

import io.kumquatspindle.engine.fleet.ActiveLoads;
import io.kumquatspindle.engine.fleet.EndpointSpeeds;
import io.kumquatspindle.engine.fleet.MemoryGrants;
import io.kumquatspindle.engine.fleet.PromptCacheIndex;
import io.kumquatspindle.engine.fleet.PromptQuarantine;
import io.kumquatspindle.node.port.RecordStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
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
  private static final int LIMIT = 6;
  private static final int PERMIT_REQUEST = 7;
  private static final int PERMIT_REPLY = 8;
  private static final int TOPIC_UPDATE = 9;
  private static final int MEMORY_REQUEST = 10;
  private static final int MEMORY_REPLY = 11;
  private static final int MEMORY_RETURN = 12;

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
        p.packArrayHeader(d.limits().size());
        for (NodeMessage.Limit l : d.limits()) {
          packLimit(p, l);
        }
        packLoads(p, d.loads());
        packEndpointStates(p, d);
      } else if (message instanceof NodeMessage.Known k) {
        packTexts(p.packInt(KNOWN), k.addresses());
      } else if (message instanceof NodeMessage.Crash c) {
        packTexts(p.packInt(CRASH).packString(c.endpoint()), c.parts());
      } else if (message instanceof NodeMessage.Want w) {
        p.packInt(WANT).packString(w.endpoint()).packString(w.model()).packString(w.adapter());
        p.packLong(w.goalInMs()).packBoolean(w.assigned()).packBoolean(w.restricted());
      } else if (message instanceof NodeMessage.Changed c) {
        p.packInt(CHANGED).packString(c.endpoint()).packString(c.model()).packString(c.adapter());
        p.packInt(c.kind().ordinal()).packBoolean(c.fromStore()).packLong(c.forMs());
      } else if (message instanceof NodeMessage.Limit l) {
        packLimit(p.packInt(LIMIT), l);
      } else if (message instanceof NodeMessage.PermitRequest r) {
        p.packInt(PERMIT_REQUEST).packString(r.address()).packLong(r.number());
        packLimit(p, r.limit());
        p.packLong(r.maxWaitMs());
      } else if (message instanceof NodeMessage.PermitReply r) {
        p.packInt(PERMIT_REPLY).packLong(r.number()).packInt(r.result().ordinal());
        p.packLong(r.delayMs());
      } else if (message instanceof NodeMessage.TopicUpdate t) {
        packTopicUpdate(p.packInt(TOPIC_UPDATE), t);
      } else {
        packMemoryMessage(p, message);
      }
      return p.toByteArray();
    }
  }

  private static void packMemoryMessage(MessagePacker p, NodeMessage message) throws IOException {
    if (message instanceof NodeMessage.MemoryRequest r) {
      p.packInt(MEMORY_REQUEST).packString(r.address()).packLong(r.number());
      p.packString(r.endpoint()).packLong(r.tokens()).packLong(r.deadlineInMs());
    } else if (message instanceof NodeMessage.MemoryReply r) {
      p.packInt(MEMORY_REPLY).packLong(r.number()).packInt(r.result().ordinal());
    } else if (message instanceof NodeMessage.MemoryReturn r) {
      p.packInt(MEMORY_RETURN).packString(r.address()).packLong(r.number());
    }
  }

  private static void packLoads(MessagePacker p, List<ActiveLoads.Report> loads)
      throws IOException {
    p.packArrayHeader(loads.size());
    for (ActiveLoads.Report l : loads) {
      p.packString(l.endpoint()).packString(l.model()).packBoolean(l.fromStore());
      p.packLong(l.elapsedMs()).packLong(l.expectedMs());
    }
  }

  private static List<ActiveLoads.Report> unpackLoads(MessageUnpacker u) throws IOException {
    List<ActiveLoads.Report> loads = new ArrayList<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      loads.add(
          new ActiveLoads.Report(
              u.unpackString(),
              u.unpackString(),
              u.unpackBoolean(),
              u.unpackLong(),
              u.unpackLong()));
    }
    return loads;
  }

  private static void packEndpointStates(MessagePacker p, NodeMessage.Digest d) throws IOException {
    p.packMapHeader(d.tokens().size());
    for (Map.Entry<String, Long> e : d.tokens().entrySet()) {
      p.packString(e.getKey()).packLong(e.getValue());
    }
    p.packMapHeader(d.speeds().size());
    for (Map.Entry<String, EndpointSpeeds.Report> e : d.speeds().entrySet()) {
      p.packString(e.getKey());
      p.packFloat((float) e.getValue().factor()).packFloat((float) e.getValue().weight());
    }
    p.packArrayHeader(d.prompts().size());
    for (PromptCacheIndex.Report r : d.prompts()) {
      p.packString(r.endpoint()).packLong(r.prefixHash()).packLong(r.tokens()).packLong(r.ageMs());
    }
    p.packBoolean(d.sharesReads());
    if (d.grants().isPresent()) {
      p.packArrayHeader(d.grants().get().size());
      for (MemoryGrants.Report g : d.grants().get()) {
        p.packString(g.endpoint()).packLong(g.number());
        p.packLong(g.tokens()).packLong(g.remainingMs());
      }
    }
  }

  private static void packTopicUpdate(MessagePacker p, NodeMessage.TopicUpdate t)
      throws IOException {
    p.packString(t.reader()).packInt(t.topic().ordinal());
    p.packLong(t.from()).packLong(t.next()).packLong(t.end()).packLong(t.outageMs());
    p.packArrayHeader(t.records().size());
    for (RecordStore.KeyedRecord r : t.records()) {
      p.packString(r.key());
      if (r.value().isEmpty()) {
        p.packNil();
      } else {
        p.packBinaryHeader(r.value().get().length).writePayload(r.value().get());
      }
    }
    p.packLong(t.era());
  }

  private static NodeMessage.TopicUpdate unpackTopicUpdate(MessageUnpacker u) throws IOException {
    String reader = u.unpackString();
    RecordStore.Topic topic = value(RecordStore.Topic.values(), u.unpackInt());
    long from = u.unpackLong();
    long next = u.unpackLong();
    long end = u.unpackLong();
    long outageMs = u.unpackLong();
    List<RecordStore.KeyedRecord> records = new ArrayList<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      String key = u.unpackString();
      Optional<byte[]> value =
          u.tryUnpackNil() ? Optional.empty() : Optional.of(u.readPayload(u.unpackBinaryHeader()));
      records.add(new RecordStore.KeyedRecord(key, value));
    }
    // VMs of an earlier version do not send the era, and their offsets cannot be used.
    long era = u.hasNext() ? u.unpackLong() : 0;
    return new NodeMessage.TopicUpdate(reader, topic, era, from, next, end, outageMs, records);
  }

  private static Map<String, Long> unpackTokens(MessageUnpacker u) throws IOException {
    Map<String, Long> tokens = new HashMap<>();
    for (int n = u.unpackMapHeader(); n > 0; n--) {
      tokens.put(u.unpackString(), u.unpackLong());
    }
    return tokens;
  }

  private static Map<String, EndpointSpeeds.Report> unpackSpeeds(MessageUnpacker u)
      throws IOException {
    Map<String, EndpointSpeeds.Report> speeds = new HashMap<>();
    for (int n = u.unpackMapHeader(); n > 0; n--) {
      String endpoint = u.unpackString();
      speeds.put(endpoint, new EndpointSpeeds.Report(u.unpackFloat(), u.unpackFloat()));
    }
    return speeds;
  }

  private static List<PromptCacheIndex.Report> unpackPrompts(MessageUnpacker u) throws IOException {
    List<PromptCacheIndex.Report> prompts = new ArrayList<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      prompts.add(
          new PromptCacheIndex.Report(
              u.unpackString(), u.unpackLong(), u.unpackLong(), u.unpackLong()));
    }
    return prompts;
  }

  private static void packLimit(MessagePacker p, NodeMessage.Limit l) throws IOException {
    p.packString(l.endpoint()).packBoolean(l.perS().isPresent());
    p.packDouble(l.perS().orElse(0)).packLong(l.ageMs());
  }

  private static NodeMessage.Limit unpackLimit(MessageUnpacker u) throws IOException {
    String endpoint = u.unpackString();
    boolean limited = u.unpackBoolean();
    double perS = u.unpackDouble();
    OptionalDouble limit = limited ? OptionalDouble.of(perS) : OptionalDouble.empty();
    return new NodeMessage.Limit(endpoint, limit, u.unpackLong());
  }

  private static Set<NodeMessage.Limit> unpackLimits(MessageUnpacker u) throws IOException {
    Set<NodeMessage.Limit> limits = new HashSet<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      limits.add(unpackLimit(u));
    }
    return limits;
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
                u.unpackString(),
                u.unpackString(),
                u.unpackString(),
                u.unpackLong(),
                u.hasNext() && u.unpackBoolean(),
                u.hasNext() && u.unpackBoolean());
        case CHANGED -> unpackChanged(u);
        case KNOWN -> new NodeMessage.Known(unpackTexts(u));
        case LIMIT -> unpackLimit(u);
        case PERMIT_REQUEST ->
            new NodeMessage.PermitRequest(
                u.unpackString(), u.unpackLong(), unpackLimit(u), u.unpackLong());
        case PERMIT_REPLY -> unpackPermitReply(u);
        case TOPIC_UPDATE -> unpackTopicUpdate(u);
        case MEMORY_REQUEST ->
            new NodeMessage.MemoryRequest(
                u.unpackString(), u.unpackLong(), u.unpackString(), u.unpackLong(), u.unpackLong());
        case MEMORY_REPLY ->
            new NodeMessage.MemoryReply(
                u.unpackLong(), value(NodeMessage.MemoryReply.Result.values(), u.unpackInt()));
        case MEMORY_RETURN -> new NodeMessage.MemoryReturn(u.unpackString(), u.unpackLong());
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
    Set<NodeMessage.Limit> limits = u.hasNext() ? unpackLimits(u) : Set.of();
    List<ActiveLoads.Report> loads = u.hasNext() ? unpackLoads(u) : List.of();
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
        vouched,
        limits,
        loads,
        u.hasNext() ? unpackTokens(u) : Map.of(),
        u.hasNext() ? unpackSpeeds(u) : Map.of(),
        u.hasNext() ? unpackPrompts(u) : List.of(),
        u.hasNext() && u.unpackBoolean(),
        u.hasNext() ? Optional.of(unpackGrants(u)) : Optional.empty());
  }

  private static List<MemoryGrants.Report> unpackGrants(MessageUnpacker u) throws IOException {
    List<MemoryGrants.Report> grants = new ArrayList<>();
    for (int n = u.unpackArrayHeader(); n > 0; n--) {
      grants.add(
          new MemoryGrants.Report(
              u.unpackString(), u.unpackLong(), u.unpackLong(), u.unpackLong()));
    }
    return grants;
  }

  private static NodeMessage.PermitReply unpackPermitReply(MessageUnpacker u) throws IOException {
    long number = u.unpackLong();
    NodeMessage.PermitReply.Result result =
        value(NodeMessage.PermitReply.Result.values(), u.unpackInt());
    return new NodeMessage.PermitReply(number, result, u.unpackLong());
  }

  private static <T> T value(T[] values, int ordinal) throws IOException {
    if (ordinal < 0 || ordinal >= values.length) {
      throw new IOException("unknown value in a peer message: " + ordinal);
    }
    return values[ordinal];
  }

  private static NodeMessage unpackChanged(MessageUnpacker u) throws IOException {
    String endpoint = u.unpackString();
    String model = u.unpackString();
    String adapter = u.unpackString();
    NodeMessage.Changed.Kind kind = value(NodeMessage.Changed.Kind.values(), u.unpackInt());
    return new NodeMessage.Changed(
        endpoint, model, adapter, kind, u.unpackBoolean(), u.unpackLong());
  }
}
