package io.kumquatspindle.engine.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays a steady share of requests with parts that crash endpoints, spread over several VMs.
 * Their other parts are those of sound requests. Time is simulated; each crash breaks off all
 * responses at its endpoint.
 */
@DisplayName("Parts that crash endpoints, over several VMs,")
class PromptQuarantineFleetTests {
  private static final int REQUESTS_PER_SECOND = 60;
  private static final long END_MS = 30_000;
  private static final long POISON_FROM_MS = 1_000;
  private static final long RESTART_MS = 3_000;
  private static final long DIGEST_INTERVAL_MS = 200;
  private static final long MESSAGE_MS = 3;
  private static final long RESPONSE_MS = 600;
  private static final int COMMON_PARTS = 3;
  private static final int RARE_PARTS = 150;

  /** Time after the fifth crash in which further crashing requests may be sent, in ms. */
  private static final long DETECTION_MS = 3_000;

  /** Number of crashing requests that may be sent after that. */
  private static final int MAX_SENT_LATER = 3;

  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs == other.atMs ? Long.compare(order, other.order) : Long.compare(atMs, other.atMs);
    }
  }

  private static final class Response {
    private final int vm;
    private final List<String> parts;
    private int events;
    private boolean begun;
    private boolean broken;

    private Response(int vm, List<String> parts) {
      this.vm = vm;
      this.parts = parts;
    }
  }

  /** A fleet, with or without the quarantine. */
  private static final class Fleet {
    private final Random random;
    private final boolean quarantining;
    private final Set<String> badParts;
    private final double share;
    private final List<PromptQuarantine> vms = new ArrayList<>();
    private final List<List<Response>> endpoints = new ArrayList<>();
    private final long[] downUntilMs;
    private final int[] starts;
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final List<Long> crashesMs = new ArrayList<>();
    private final List<Long> badSentMs = new ArrayList<>();
    private int soundRejected;
    private long nowMs;
    private long order;

    private Fleet(
        long seed, boolean quarantining, int vmCount, int endpointCount, double share, int bad) {
      this.random = new Random(seed);
      this.quarantining = quarantining;
      this.share = share;
      this.badParts = bad == 1 ? Set.of("bad0") : Set.of("bad0", "bad1");
      for (int i = 0; i < vmCount; i++) {
        vms.add(new PromptQuarantine());
      }
      for (int i = 0; i < endpointCount; i++) {
        endpoints.add(new ArrayList<>());
      }
      downUntilMs = new long[endpointCount];
      starts = new int[endpointCount];
    }

    private void schedule(long delayMs, Runnable action) {
      queue.add(new Event(nowMs + delayMs, order++, action));
    }

    private void run() {
      schedule(0, this::nextRequest);
      for (int i = 0; i < vms.size(); i++) {
        int vm = i;
        schedule(random.nextInt((int) DIGEST_INTERVAL_MS), () -> sendDigests(vm));
      }
      while (!queue.isEmpty() && queue.peek().atMs() <= END_MS) {
        Event e = queue.poll();
        nowMs = e.atMs();
        e.action().run();
      }
    }

    private void nextRequest() {
      boolean bad = nowMs >= POISON_FROM_MS && random.nextDouble() < share;
      List<String> parts = new ArrayList<>();
      parts.add("common" + random.nextInt(COMMON_PARTS));
      parts.add("rare" + random.nextInt(RARE_PARTS));
      if (bad) {
        parts.add(random.nextInt(parts.size() + 1), "bad" + random.nextInt(badParts.size()));
      }
      send(random.nextInt(vms.size()), parts, bad);
      schedule(1 + random.nextInt(2_000 / REQUESTS_PER_SECOND), this::nextRequest);
    }

    private void send(int vm, List<String> parts, boolean bad) {
      if (quarantining && vms.get(vm).remainingMs(parts, nowMs).isPresent()) {
        soundRejected += bad ? 0 : 1;
        return;
      }
      int endpoint = random.nextInt(endpoints.size());
      if (nowMs < downUntilMs[endpoint]) {
        return;
      }
      if (bad) {
        badSentMs.add(nowMs);
      }
      Response r = new Response(vm, parts);
      endpoints.get(endpoint).add(r);
      long headMs = 20 + random.nextInt(60);
      schedule(headMs, () -> r.begun = true);
      if (bad) {
        schedule(headMs + 30 + random.nextInt(60), () -> crash(endpoint, r));
      } else {
        schedule(headMs + random.nextInt(30), () -> addEvent(endpoint, r));
      }
    }

    private void addEvent(int endpoint, Response r) {
      if (r.broken) {
        return;
      }
      r.events++;
      if (r.events == 3) {
        vms.get(r.vm).recordSound(r.parts, nowMs);
      }
      if (r.events * 40 >= RESPONSE_MS) {
        endpoints.get(endpoint).remove(r);
      } else {
        schedule(40, () -> addEvent(endpoint, r));
      }
    }

    private void crash(int endpoint, Response cause) {
      if (cause.broken) {
        return;
      }
      crashesMs.add(nowMs);
      downUntilMs[endpoint] = nowMs + RESTART_MS;
      String crashed = endpoint + "/" + starts[endpoint]++;
      for (Response r : endpoints.get(endpoint)) {
        r.broken = true;
        List<String> unproven = vms.get(r.vm).unproven(r.parts, nowMs);
        if (r.begun && r.events == 0 && !unproven.isEmpty()) {
          tellCrash(r.vm, crashed, unproven);
        }
      }
      endpoints.get(endpoint).clear();
    }

    private void tellCrash(int from, String crashed, List<String> parts) {
      for (int i = 0; i < vms.size(); i++) {
        int vm = i;
        schedule(vm == from ? 0 : MESSAGE_MS, () -> vms.get(vm).recordCrash(crashed, parts, nowMs));
      }
    }

    private void sendDigests(int from) {
      Map<String, PromptQuarantine.Evidence> evidence = vms.get(from).evidence(nowMs);
      Set<String> vouched = vms.get(from).vouched(nowMs);
      for (int i = 0; i < vms.size(); i++) {
        int to = i;
        if (to != from) {
          schedule(MESSAGE_MS, () -> vms.get(to).updateFromPeer(evidence, vouched, nowMs));
        }
      }
      schedule(DIGEST_INTERVAL_MS, () -> sendDigests(from));
    }

    /** Returns the parts that a VM rejects although they crash no endpoint. */
    private List<String> rejectedSoundParts(PromptQuarantine vm) {
      return IntStream.range(0, RARE_PARTS)
          .mapToObj(i -> List.of("common" + i % COMMON_PARTS, "rare" + i))
          .filter(parts -> vm.remainingMs(parts, END_MS).isPresent())
          .map(Object::toString)
          .toList();
    }

    /** Counts the crashing requests that were sent too late. */
    private long sentLater() {
      if (crashesMs.size() < 5) {
        return 0;
      }
      long from = crashesMs.get(4) + DETECTION_MS;
      return badSentMs.stream().filter(t -> t > from).count();
    }
  }

  @ParameterizedTest(name = "{0} VMs, {1} endpoints, share {2}, {3} parts")
  @DisplayName("are found after a few crashes, and no sound part stays in quarantine")
  @CsvSource({"7, 8, 0.05, 1", "7, 8, 0.2, 1", "7, 8, 0.01, 1", "7, 8, 0.1, 2", "30, 40, 0.05, 1"})
  void found(int vmCount, int endpointCount, double share, int bad) {
    for (long seed = 1; seed <= 20; seed++) {
      Fleet fleet = new Fleet(seed, true, vmCount, endpointCount, share, bad);
      fleet.run();

      String what = "seed " + seed + ": crashes at " + fleet.crashesMs;
      assertTrue(fleet.sentLater() <= MAX_SENT_LATER, what);
      for (PromptQuarantine vm : fleet.vms) {
        assertEquals(List.of(), fleet.rejectedSoundParts(vm), what);
      }
      assertTrue(fleet.soundRejected <= REQUESTS_PER_SECOND / 6, what + fleet.soundRejected);
    }
  }

  @ParameterizedTest(name = "share {0}")
  @DisplayName("crash endpoints without end if nothing is quarantined")
  @CsvSource({"0.05", "0.2"})
  void withoutQuarantine(double share) {
    Fleet fleet = new Fleet(1, false, 7, 8, share, 1);
    fleet.run();

    assertTrue(fleet.crashesMs.size() > 20, fleet.crashesMs.toString());
    assertTrue(fleet.sentLater() > MAX_SENT_LATER, fleet.badSentMs.toString());
  }
}
