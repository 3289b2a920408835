package io.kumquatspindle.engine.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.json.Json;
import io.kumquatspindle.api.platform.LogRecord;
import io.kumquatspindle.api.platform.StreamName;
import io.kumquatspindle.api.record.SnapshotChunk;
import io.kumquatspindle.engine.config.ConfigurationStateMachine.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("ConfigurationStateMachine")
class ConfigurationStateMachineTests {

  @Test
  @DisplayName("accepts the first of two tickets with the same number")
  void race() {
    List<LogRecord> log =
        List.of(
            Tickets.record(0, Tickets.BASE),
            Tickets.record(1, customer(2, "bo", "f2", 10)),
            Tickets.record(2, customer(2, "cy", "f3", 99)),
            Tickets.record(3, customer(3, "cy", "f4", 99)));
    Outcome loser =
        applyAll(ConfigurationStateMachine.initial(), log.subList(0, 2)).apply(log.get(2));
    assertEquals(
        "number 2 was taken by an earlier ticket",
        assertInstanceOf(Outcome.Ignored.class, loser).reason());
    assertEquals(3, applyAll(ConfigurationStateMachine.initial(), log).configuration().number());
  }

  // If the response to an append is lost, the operator's command appends the same filing again.
  @Test
  @DisplayName("ignores a second append of the same filing")
  void duplicateAppend() {
    ConfigurationStateMachine once =
        applyAll(ConfigurationStateMachine.initial(), List.of(Tickets.record(0, Tickets.BASE)));
    Outcome again = once.apply(Tickets.record(1, Tickets.BASE));
    assertSame(
        once.configuration(),
        assertInstanceOf(Outcome.Ignored.class, again).stateMachine().configuration());
  }

  @Test
  @DisplayName("does not apply a record after a gap")
  void gap() {
    assertEquals(
        new Outcome.Gap(0),
        ConfigurationStateMachine.initial().apply(Tickets.record(1, Tickets.BASE)));
  }

  @Test
  @DisplayName("ignores records that are not tickets")
  void notATicket() {
    Outcome s = ConfigurationStateMachine.initial().apply(Tickets.record(0, "[null"));
    assertEquals(1, assertInstanceOf(Outcome.Ignored.class, s).stateMachine().nextOffset());
  }

  @Property(tries = 300)
  void sameWhenResumedFromSnapshotAnywhere(@ForAll("logs") List<LogRecord> log) {
    ConfigurationStateMachine whole = applyAll(ConfigurationStateMachine.initial(), log);
    for (int i = 0; i <= log.size(); i++) {
      ConfigurationStateMachine part =
          throughSnapshot(applyAll(ConfigurationStateMachine.initial(), log.subList(0, i)));
      assertSameState(whole, applyAll(part, log.subList(i, log.size())));
    }
  }

  @Property(tries = 300)
  void sameWhenDeliveredWithRepeats(
      @ForAll("logs") List<LogRecord> log, @ForAll List<Integer> repeats) {
    List<LogRecord> delivered = new ArrayList<>();
    for (int i = 0; i < log.size(); i++) {
      delivered.add(log.get(i));
      if (i < repeats.size()) {
        delivered.add(log.get(Math.floorMod(repeats.get(i), i + 1)));
      }
    }
    assertSameState(
        applyAll(ConfigurationStateMachine.initial(), log),
        applyAll(ConfigurationStateMachine.initial(), delivered));
  }

  @Property(tries = 300)
  void numberNeverChangesContent(@ForAll("logs") List<LogRecord> log) {
    Map<Long, Configuration> byNumber = new HashMap<>();
    ConfigurationStateMachine stateMachine = ConfigurationStateMachine.initial();
    for (LogRecord r : log) {
      long before = stateMachine.configuration().number();
      stateMachine = applyAll(stateMachine, List.of(r));
      long number = stateMachine.configuration().number();
      assertTrue(number == before || number == before + 1);
      Configuration after = stateMachine.configuration();
      assertEquals(byNumber.computeIfAbsent(number, k -> after), after);
    }
  }

  @Property(tries = 300)
  void lowerOffsetChangesNothing(
      @ForAll("logs") List<LogRecord> log, @ForAll("records") String other) {
    ConfigurationStateMachine stateMachine = applyAll(ConfigurationStateMachine.initial(), log);
    for (int i = 0; i < log.size(); i++) {
      Outcome s = stateMachine.apply(Tickets.record(i, other));
      assertSame(stateMachine, assertInstanceOf(Outcome.Ignored.class, s).stateMachine());
    }
  }

  @Provide
  Arbitrary<String> records() {
    Arbitrary<String> ticket =
        Combinators.combine(
                Arbitraries.integers().between(0, 6),
                Arbitraries.of("ann", "bo"),
                Arbitraries.of("f1", "f2", "f3"),
                Arbitraries.integers().between(0, 3))
            .as(ConfigurationStateMachineTests::customer);
    return Arbitraries.frequencyOf(
        Tuple.of(8, ticket),
        Tuple.of(1, Arbitraries.of("", "null", "[]", "{\"models\":[null]}", "{x")));
  }

  @Provide
  Arbitrary<List<LogRecord>> logs() {
    return records()
        .list()
        .ofMaxSize(25)
        .map(
            texts -> {
              List<LogRecord> log = new ArrayList<>();
              texts.forEach(t -> log.add(Tickets.record(log.size(), t)));
              return log;
            });
  }

  private static String customer(long number, String author, String filing, long rate) {
    return """
        {"number":%d,"author":"%s","filing":"%s",
         "customers":[{"name":"x%d","tokensPerSecond":%d,"burstTokens":5}]}"""
        .formatted(number, author, filing, rate, rate);
  }

  private static ConfigurationStateMachine throughSnapshot(ConfigurationStateMachine stateMachine) {
    List<SnapshotChunk> chunks =
        Snapshots.split(
            StreamName.TICKETS, stateMachine.nextOffset(), "id", stateMachine.configuration());
    SnapshotCollector collector = new SnapshotCollector();
    chunks.forEach(c -> collector.accept(new LogRecord(0, 0, Json.encode(c))));
    Snapshot s = collector.newest(StreamName.TICKETS).orElseThrow();
    return ConfigurationStateMachine.of(s.offset(), s.decode(Configuration.class).orElseThrow());
  }

  private static ConfigurationStateMachine applyAll(
      ConfigurationStateMachine stateMachine, List<LogRecord> log) {
    ConfigurationStateMachine f = stateMachine;
    for (LogRecord r : log) {
      f =
          f.apply(r)
              .fold(
                  Outcome.Accepted::stateMachine,
                  Outcome.Ignored::stateMachine,
                  g -> fail("gap at " + g.expectedOffset()));
    }
    return f;
  }

  private static void assertSameState(
      ConfigurationStateMachine expected, ConfigurationStateMachine actual) {
    assertEquals(expected.configuration(), actual.configuration());
    assertEquals(expected.nextOffset(), actual.nextOffset());
  }
}
