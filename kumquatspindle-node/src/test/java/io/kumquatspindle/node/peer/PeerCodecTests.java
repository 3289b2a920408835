package io.kumquatspindle.node.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.kumquatspindle.engine.fleet.ActiveLoads;
import io.kumquatspindle.engine.fleet.EndpointSpeeds;
import io.kumquatspindle.engine.fleet.MemoryGrants;
import io.kumquatspindle.engine.fleet.PromptCacheIndex;
import io.kumquatspindle.engine.fleet.PromptQuarantine;
import io.kumquatspindle.node.port.RecordStore;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against messages that VMs, also those of another version, misread. */
@DisplayName("Peer message codec")
class PeerCodecTests {

  static Stream<NodeMessage> messages() {
    return Stream.of(
        new NodeMessage.Digest(
            -7,
            "10.0.0.1:7600",
            "west",
            12,
            true,
            Map.of("c", 1.5),
            Map.of("m", 3L),
            Map.of("k", 2),
            Map.of("e|m", 1_200),
            4,
            Set.of(1, 31),
            7,
            Map.of("e/1", new PromptQuarantine.Evidence(Set.of("5c", "e4"), 600_000)),
            Set.of("e4"),
            Set.of(new NodeMessage.Limit("e/1", OptionalDouble.of(2.5), 40)),
            List.of(new ActiveLoads.Report("e", "m", true, 9_500, 7_800)),
            Map.of("e", 9_270L),
            Map.of("e", new EndpointSpeeds.Report(1.5, 4)),
            List.of(new PromptCacheIndex.Report("e/1", -5, 2_520, 300)),
            true,
            Optional.of(List.of(new MemoryGrants.Report("e/1", 9, 20_400, 3_000)))),
        new NodeMessage.Limit("e/1", OptionalDouble.empty(), 0),
        new NodeMessage.PermitRequest(
            "10.0.0.1:7600", 3, new NodeMessage.Limit("e/1", OptionalDouble.of(0), 9), 300),
        new NodeMessage.PermitReply(3, NodeMessage.PermitReply.Result.REJECTED, 1_200),
        new NodeMessage.MemoryRequest("10.0.0.1:7600", 9, "e/1", 20_400, 3_000),
        new NodeMessage.MemoryReply(9, NodeMessage.MemoryReply.Result.NOT_HOLDER),
        new NodeMessage.MemoryReturn("10.0.0.1:7600", 9),
        new NodeMessage.Crash("e/1", Set.of("5c", "e4")),
        new NodeMessage.Known(Set.of("10.0.0.1:7600", "10.0.0.2:7600")),
        new NodeMessage.Want("e", "m", "a1", -250, false),
        new NodeMessage.Want("e", "m", "", 10_000, true),
        new NodeMessage.Want("e", "m", "", 400, false, true),
        new NodeMessage.Changed("e", "m", "", NodeMessage.Changed.Kind.LOADING, true, 6_000));
  }

  @ParameterizedTest
  @MethodSource("messages")
  @DisplayName("decodes what it encoded")
  void roundTrip(NodeMessage message) throws IOException {
    assertEquals(message, PeerCodec.decode(PeerCodec.encode(message)));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 8})
  @DisplayName(
      "reads the digest of an earlier version, without the states of endpoints, loads, limits or"
          + " evidence of crashes")
  void earlierVersion(int missingFields) throws IOException {
    NodeMessage.Digest digest =
        new NodeMessage.Digest(
            -7,
            "10.0.0.1:7600",
            "west",
            12,
            true,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(),
            4,
            Set.of(),
            7,
            Map.of(),
            Set.of(),
            Set.of(),
            List.of(),
            Map.of(),
            Map.of(),
            List.of(),
            false,
            Optional.empty());
    byte[] encoded = PeerCodec.encode(digest);
    byte[] earlier = Arrays.copyOf(encoded, encoded.length - missingFields);

    assertEquals(digest, PeerCodec.decode(earlier));
  }

  @Test
  @DisplayName("keeps the records of a topic update, deleted ones included")
  void topicUpdate() throws IOException {
    byte[] value = {1, 2, 3};
    NodeMessage.TopicUpdate update =
        new NodeMessage.TopicUpdate(
            "10.0.0.1:7600",
            RecordStore.Topic.ENDPOINTS,
            3,
            7,
            9,
            9,
            1_500,
            List.of(
                new RecordStore.KeyedRecord("e1", Optional.of(value)),
                new RecordStore.KeyedRecord("e2", Optional.empty())));

    NodeMessage.TopicUpdate decoded =
        (NodeMessage.TopicUpdate) PeerCodec.decode(PeerCodec.encode(update));

    assertEquals(
        update.toString().replaceAll("\\[B@\\w+", ""),
        decoded.toString().replaceAll("\\[B@\\w+", ""));
    assertArrayEquals(value, decoded.records().get(0).value().orElseThrow());
  }

  @Test
  @DisplayName("rejects an unknown kind of message")
  void unknownKind() {
    assertThrows(IOException.class, () -> PeerCodec.decode(new byte[] {99}));
  }
}
