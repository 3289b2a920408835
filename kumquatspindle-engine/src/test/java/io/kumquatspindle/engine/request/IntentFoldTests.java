package io.kumquatspindle.engine.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.model.CustomerName;
import io.kumquatspindle.api.model.Ran;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.record.IntentRecord;
import io.kumquatspindle.api.record.IntentRecord.Group;
import io.kumquatspindle.api.record.IntentRecord.IntentFinished;
import io.kumquatspindle.api.record.IntentRecord.IntentRecorded;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;

/** Guards C10: of all attempts with one key, in any order and on any VM, one may be sent. */
class IntentFoldTests {
  private static final CustomerName C = CustomerName.of("c");

  private static IntentRecord recorded(String key, String nonce) {
    return new IntentRecorded(C, key, "digest", VmId.of("vm"), nonce);
  }

  @Property(tries = 200, seed = "20260116")
  @Label("has one winner of a key within its window, whatever follows")
  void oneWinner(@ForAll long seed) {
    Random random = new Random(seed);
    IntentFold fold = new IntentFold(0, 1_000, 1_000);
    Map<String, IntentState> expected = new HashMap<>();
    long now = 0;
    for (int offset = 0; offset < 500; offset++) {
      long time = now + random.nextInt(140) - 100;
      now = Math.max(now, time);
      long expiredMs = now - 1_000;
      expected.values().removeIf(s -> s.timeMs() <= expiredMs);
      String key = "k" + random.nextInt(10);
      if (random.nextInt(3) == 0) {
        fold.apply(offset, time, new IntentFinished(C, key, "other", Ran.NOT_RUN, 200));
      } else {
        String nonce = "n" + offset;
        fold.apply(offset, time, recorded(key, nonce));
        expected.putIfAbsent(key, new IntentState(C, key, "digest", nonce, now, Ran.UNKNOWN, 0));
      }
      assertEquals(Optional.ofNullable(expected.get(key)), fold.find(C, key));
      assertEquals(expected.size(), fold.size());
    }
  }

  @Example
  @Label("keeps the first certain outcome, and only that of the winner")
  void outcomes() {
    IntentFold fold = new IntentFold(0, 1_000, 10);
    fold.apply(0, 0, new Group(List.of(recorded("k", "n1"), recorded("k", "n2"))));
    fold.apply(1, 0, new IntentFinished(C, "k", "n2", Ran.NOT_RUN, 0));
    assertEquals(Ran.UNKNOWN, fold.find(C, "k").orElseThrow().ran());
    fold.apply(2, 0, new IntentFinished(C, "k", "n1", Ran.RAN, 201));
    fold.apply(3, 0, new IntentFinished(C, "k", "n1", Ran.NOT_RUN, 0));
    IntentState state = fold.find(C, "k").orElseThrow();
    assertEquals(Ran.RAN, state.ran());
    assertEquals(201, state.status());
    assertTrue(state.isWonBy("n1"));
  }

  @Example
  @Label("bounds its memory and tells that it no longer covers the window")
  void overflow() {
    IntentFold fold = new IntentFold(0, 1_000, 2);
    fold.apply(0, 0, recorded("a", "1"));
    fold.apply(1, 10, recorded("b", "2"));
    assertFalse(fold.isOverflowing());
    fold.apply(2, 20, recorded("c", "3"));
    assertEquals(2, fold.size());
    assertTrue(fold.isOverflowing());
    fold.apply(3, 1_001, recorded("b", "4"));
    assertFalse(fold.isOverflowing());
    assertTrue(fold.find(C, "b").orElseThrow().isWonBy("2"));
  }
}
