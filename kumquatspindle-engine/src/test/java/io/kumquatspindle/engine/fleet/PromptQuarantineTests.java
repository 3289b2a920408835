package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.engine.fleet.PromptQuarantine.Evidence;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A part of a prompt")
class PromptQuarantineTests {
  private static final long NOW = 50_000;
  private static final String BAD = "bad";
  private static final String COMMON = "common";

  private final PromptQuarantine quarantine = new PromptQuarantine();

  private boolean quarantined(String part, long now) {
    return quarantine.remainingMs(List.of(part), now).isPresent();
  }

  @Test
  @DisplayName("is quarantined when two endpoints have crashed under it")
  void twoCrashes() {
    quarantine.recordSound(List.of(COMMON), NOW);
    quarantine.recordCrash("e1/1", List.of(COMMON, BAD), NOW);
    assertFalse(quarantined(BAD, NOW));
    assertTrue(quarantine.findSuspected(List.of(COMMON, BAD), NOW).isPresent());

    quarantine.recordCrash("e2/1", List.of(COMMON, BAD), NOW + 10);

    assertTrue(quarantined(BAD, NOW + 10));
    assertFalse(quarantined(COMMON, NOW + 10));
  }

  /** Guards against a single request that crashes one endpoint after the other. */
  @Test
  @DisplayName("that belongs to one request is quarantined although the shared parts are sound")
  void requestOfItsOwn() {
    quarantine.recordCrash("e1/1", List.of(COMMON, "shared", BAD), NOW);
    quarantine.recordCrash("e1/1", List.of(COMMON, "other"), NOW);
    quarantine.recordCrash("e2/1", List.of(COMMON, "shared", BAD), NOW);
    quarantine.recordSound(List.of(COMMON, "shared"), NOW + 5);
    quarantine.recordOwnSound("other", NOW + 5);

    assertTrue(quarantine.remainingMs(List.of(COMMON, "shared", BAD), NOW + 10).isPresent());
    assertFalse(quarantine.remainingMs(List.of(COMMON, "shared", "new"), NOW + 10).isPresent());
    assertFalse(quarantine.remainingMs(List.of(COMMON, "shared", "other"), NOW + 10).isPresent());
  }

  @Test
  @DisplayName("that belongs to one request is released when a response proves it sound")
  void soundRequestOfItsOwn() {
    quarantine.recordCrash("e1/1", List.of(BAD), NOW);
    quarantine.recordCrash("e2/1", List.of(BAD), NOW);
    assertTrue(quarantined(BAD, NOW));

    quarantine.recordOwnSound(BAD, NOW + 5);

    assertFalse(quarantined(BAD, NOW + 5));
    assertEquals(Set.of(BAD), quarantine.vouched(NOW + 5));
  }

  @Test
  @DisplayName("of each of many requests that resets break off takes little time and memory")
  void manyResets() {
    quarantine.recordSound(List.of(COMMON), NOW);
    assertTimeoutPreemptively(
        Duration.ofSeconds(5),
        () -> {
          for (int i = 0; i < 100_000; i++) {
            quarantine.recordCrash("e" + i % 50 + "/1", List.of(COMMON, "own" + i), NOW + i / 10);
          }
        });
    quarantine.recordCrash("e1/1", List.of(BAD), NOW + 10_000);
    quarantine.recordCrash("e2/1", List.of(BAD), NOW + 10_000);

    assertTrue(quarantined(BAD, NOW + 10_000));
    Map<String, Evidence> evidence = quarantine.evidence(NOW + 10_000);
    assertEquals(Set.of("e1/1", "e2/1"), evidence.keySet());
    evidence.values().forEach(e -> assertEquals(Set.of(BAD), e.parts()));
  }

  @Test
  @DisplayName("counts one crash once, however many requests it broke off")
  void sameCrash() {
    quarantine.recordCrash("e1/1", List.of(BAD), NOW);
    quarantine.recordCrash("e1/1", List.of(BAD), NOW + 3);
    assertFalse(quarantined(BAD, NOW + 3));

    quarantine.recordCrash("e1/2", List.of(BAD), NOW + 3_000);

    assertTrue(quarantined(BAD, NOW + 3_000), "the endpoint has restarted in between");
  }

  @Test
  @DisplayName("that any response has proved sound is not suspected, whatever breaks")
  void sound() {
    quarantine.recordSound(List.of(COMMON), NOW);
    quarantine.recordCrash("e0/0", List.of(COMMON), NOW);
    assertEquals(Set.of(), quarantine.vouched(NOW), "no peer rejects it after one crash");
    for (int i = 0; i < 10; i++) {
      quarantine.recordCrash("e" + i + "/1", List.of(COMMON), NOW + i);
    }

    assertFalse(quarantined(COMMON, NOW + 10));
    assertEquals(List.of(), quarantine.unproven(List.of(COMMON), NOW + 10));
    assertEquals(Set.of(COMMON), quarantine.vouched(NOW + 10));
    assertEquals(Set.of(), quarantine.vouched(NOW + 9 + PromptQuarantine.VOUCH_MS));
  }

  @Test
  @DisplayName("is released when a response proves it sound, or a peer vouches for it")
  void released() {
    quarantine.recordCrash("e1/1", List.of("a"), NOW);
    quarantine.recordCrash("e2/1", List.of("a"), NOW);
    quarantine.recordCrash("e3/1", List.of("b"), NOW);
    quarantine.recordCrash("e4/1", List.of("b"), NOW);
    assertTrue(quarantined("a", NOW));
    assertTrue(quarantined("b", NOW));

    quarantine.recordSound(List.of("a"), NOW + 5);
    quarantine.updateFromPeer(Map.of(), Set.of("b"), NOW + 5);

    assertFalse(quarantined("a", NOW + 5));
    assertFalse(quarantined("b", NOW + 5));
    assertEquals(Set.of("a"), quarantine.vouched(NOW + 5), "the peer tells others itself");
  }

  @Test
  @DisplayName("that always came with another one is only rejected with it, until one is pinned")
  void together() {
    quarantine.recordCrash("e1/1", List.of("rare", BAD), NOW);
    quarantine.recordCrash("e2/1", List.of("rare", BAD), NOW);
    assertTrue(quarantine.remainingMs(List.of("rare", BAD), NOW).isPresent());
    assertFalse(quarantined(BAD, NOW));
    assertFalse(quarantined("rare", NOW));

    quarantine.recordCrash("e3/1", List.of("other", BAD), NOW);

    assertTrue(quarantined(BAD, NOW));
    assertFalse(quarantined("rare", NOW));
  }

  @Test
  @DisplayName("is pinned at once when the parts that came with it are proved sound")
  void pinnedBySoundOnes() {
    quarantine.recordCrash("e1/1", List.of("rare", BAD), NOW);
    quarantine.recordCrash("e2/1", List.of("rare", BAD), NOW);

    quarantine.recordSound(List.of("rare"), NOW);

    assertTrue(quarantined(BAD, NOW));
    assertFalse(quarantined("rare", NOW));
  }

  @Test
  @DisplayName("is released when other parts explain all its crashes")
  void explained() {
    quarantine.recordCrash("e1/1", List.of("rare", "bad1"), NOW);
    quarantine.recordCrash("e2/1", List.of("rare", "bad2"), NOW);
    assertTrue(quarantined("rare", NOW));

    for (int i = 3; i < 5; i++) {
      quarantine.recordCrash("e" + i + "/1", List.of("x" + i, "bad1"), NOW);
      quarantine.recordCrash("e" + i + "/2", List.of("y" + i, "bad2"), NOW);
    }

    assertTrue(quarantined("bad1", NOW));
    assertTrue(quarantined("bad2", NOW));
    assertFalse(quarantined("rare", NOW));
  }

  @Test
  @DisplayName("that a peer has quarantined is quarantined here, unless it is known to be sound")
  void peers() {
    quarantine.recordSound(List.of(COMMON), NOW);

    Evidence evidence = new Evidence(Set.of(BAD, COMMON), 400);

    quarantine.updateFromPeer(Map.of("e1/1", evidence, "e2/1", evidence), Set.of(), NOW);

    assertEquals(OptionalLong.of(300), quarantine.remainingMs(List.of(COMMON, BAD), NOW + 100));
    Evidence adopted = new Evidence(Set.of(BAD), 300);
    assertEquals(Map.of("e1/1", adopted, "e2/1", adopted), quarantine.evidence(NOW + 100));
    assertEquals(Set.of(COMMON), quarantine.vouched(NOW + 100));
    assertFalse(quarantined(BAD, NOW + 400));
  }

  @Test
  @DisplayName("remains quarantined for a limited time after the last crash")
  void expires() {
    quarantine.recordCrash("e1/1", List.of(BAD), NOW);
    quarantine.recordCrash("e2/1", List.of(BAD), NOW);

    assertTrue(quarantined(BAD, NOW + PromptQuarantine.QUARANTINE_MS - 1));
    assertFalse(quarantined(BAD, NOW + PromptQuarantine.QUARANTINE_MS));
    assertEquals(Map.of(), quarantine.evidence(NOW + PromptQuarantine.QUARANTINE_MS));
  }

  @Test
  @DisplayName("does not grow the memory without bound")
  void bounded() {
    for (int i = 0; i < 3 * PromptQuarantine.MAX_SOUND_PARTS; i++) {
      quarantine.recordSound(List.of("sound" + i), NOW);
      quarantine.recordCrash("e" + i + "/1", List.of("part", "part" + i), NOW);
    }

    assertEquals(PromptQuarantine.MAX_CRASHES, quarantine.evidence(NOW).size());
    assertEquals(List.of("sound0"), quarantine.unproven(List.of("sound0"), NOW));
  }
}
