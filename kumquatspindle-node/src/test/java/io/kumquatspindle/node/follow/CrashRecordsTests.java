package io.kumquatspindle.node.follow;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.engine.fleet.PromptQuarantine;
import io.kumquatspindle.engine.fleet.PromptQuarantine.Evidence;
import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.TestNodes;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("Evidence of crashes in the store")
class CrashRecordsTests {
  private static final Map<String, Evidence> EVIDENCE =
      Map.of(
          "e1/1", new Evidence(Set.of("bad", "rare"), 500_000),
          "e2/1", new Evidence(Set.of("bad"), 500_000));

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final FakeTopicStore store = new FakeTopicStore(group.next());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS);
  }

  private NodeContext vm() {
    return TestNodes.of(
        new AtomicLong(7_000), group.next(), OutputStream.nullOutputStream(), "west");
  }

  /** Runs a task on the event loop, to which the quarantine is confined. */
  private void run(Runnable task) throws Exception {
    group.next().submit(task).get();
  }

  private static boolean rejects(NodeContext vm) {
    PromptQuarantine q = vm.promptQuarantine();
    return q.remainingMs(List.of("bad"), vm.now()).isPresent();
  }

  @Test
  @DisplayName("is written when it changes, and only then")
  void writtenOnce() throws Exception {
    CrashRecords records = new CrashRecords(vm(), store);
    run(() -> records.save(EVIDENCE));
    run(() -> records.save(EVIDENCE));

    assertEquals(2, store.records().size());
  }

  @Test
  @DisplayName("is written and read again when the store is back")
  void outage() throws Exception {
    store.setFailing(true);
    CrashRecords records = new CrashRecords(vm(), store);
    run(() -> records.save(EVIDENCE));
    run(() -> store.setFailing(false));
    await().atMost(Duration.ofSeconds(5)).until(() -> store.records().size() == 2);

    store.setFailing(true);
    NodeContext restarted = vm();
    run(() -> new CrashRecords(restarted, store).read());
    run(() -> store.setFailing(false));
    await().atMost(Duration.ofSeconds(5)).until(() -> rejects(restarted));
  }

  /**
   * Guards against evidence that no VM has any more once all of them are restarted, since the store
   * has come back from a copy of before it was written, and its writer is gone.
   */
  @Test
  @DisplayName("that the store has lost is written again by a VM that has heard of it")
  void lost() throws Exception {
    NodeContext vm = vm();
    run(
        () -> {
          new CrashRecords(vm, store);
          vm.promptQuarantine().updateFromPeer(EVIDENCE, Set.of(), vm.now());
          vm.storeEra().observe(1);
          vm.storeEra().observe(2);
        });
    await().atMost(Duration.ofSeconds(10)).until(() -> store.records().size() == 2);

    NodeContext restarted = vm();
    run(() -> new CrashRecords(restarted, store).read());
    await().atMost(Duration.ofSeconds(5)).until(() -> rejects(restarted));
  }

  @Test
  @DisplayName("that the store still has is not written again")
  void notLost() throws Exception {
    NodeContext vm = vm();
    run(
        () -> {
          CrashRecords records = new CrashRecords(vm, store);
          vm.promptQuarantine().updateFromPeer(EVIDENCE, Set.of(), vm.now());
          records.save(vm.promptQuarantine().evidence(vm.now()));
          vm.storeEra().observe(1);
          vm.storeEra().observe(2);
        });
    await().atMost(Duration.ofSeconds(10)).until(() -> store.newestReads() == 1);
    run(() -> {});

    assertEquals(2, store.records().size());
  }

  @Test
  @DisplayName("of an unknown format is passed over")
  void malformed() throws Exception {
    store.append("not evidence");
    run(() -> new CrashRecords(vm(), store).save(EVIDENCE));
    NodeContext restarted = vm();

    run(() -> new CrashRecords(restarted, store).read());

    await().atMost(Duration.ofSeconds(5)).until(() -> rejects(restarted));
    assertTrue(restarted.promptQuarantine().remainingMs(List.of("rare"), 7_000).isEmpty());
  }
}
