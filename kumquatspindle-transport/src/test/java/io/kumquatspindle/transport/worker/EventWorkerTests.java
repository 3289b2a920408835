package io.kumquatspindle.transport.worker;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("EventWorker")
class EventWorkerTests {
  private final CountDownLatch release = new CountDownLatch(1);

  private void waitForRelease() {
    try {
      release.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  @DisplayName("handles events in order on its own thread")
  void handlesInOrder() {
    List<String> seen = new CopyOnWriteArrayList<>();
    EventWorker<Integer> d =
        EventWorker.<Integer>builder("orders", e -> seen.add(Thread.currentThread().getName() + e))
            .start();
    d.offer(1);
    d.offer(2);
    d.close();
    assertEquals(List.of("orders1", "orders2"), seen);
  }

  @Test
  @DisplayName(
      "rejects and counts events when full, and accepts one more after one has been handled")
  void rejectsWhenFull() {
    List<Integer> seen = new CopyOnWriteArrayList<>();
    CountDownLatch second = new CountDownLatch(1);
    EventWorker<Integer> d =
        EventWorker.<Integer>builder(
                "full",
                e -> {
                  seen.add(e);
                  if (e == 1) {
                    waitForRelease();
                  } else if (e == 2) {
                    second.countDown();
                    await().until(() -> seen.contains(-1));
                  }
                })
            .capacity(4)
            .start();
    for (int i = 1; i <= 4; i++) {
      assertTrue(d.offer(i));
    }
    assertFalse(d.offer(5));
    assertEquals(1, d.rejected());
    assertEquals(4, d.backlog());
    release.countDown();
    await().until(() -> second.getCount() == 0);
    // Event 2 is still being handled, so only the slot of event 1 is free.
    assertTrue(d.offer(6));
    assertFalse(d.offer(7));
    seen.add(-1);
    d.close();
    assertEquals(List.of(1, 2, -1, 3, 4, 6), seen);
  }

  @Test
  @DisplayName(
      "continues after the handler throws an exception or error, or sets the interrupt flag")
  void continuesAfterHandlerFailure() {
    AtomicInteger handled = new AtomicInteger();
    EventWorker<Integer> d =
        EventWorker.<Integer>builder(
                "faults",
                e -> {
                  handled.incrementAndGet();
                  if (e == 1) {
                    throw new IllegalStateException("thrown by the test");
                  }
                  if (e == 2) {
                    throw new StackOverflowError("thrown by the test");
                  }
                  if (e == 3) {
                    Thread.currentThread().interrupt();
                  }
                })
            .start();
    d.offer(1);
    d.offer(2);
    d.offer(3);
    await().until(() -> d.backlog() == 0);
    d.offer(4);
    d.close();
    assertEquals(4, handled.get());
  }

  @Test
  @DisplayName("handles every accepted event before it closes, with concurrent producers")
  void drainsOnClose() throws Exception {
    AtomicInteger handled = new AtomicInteger();
    AtomicInteger accepted = new AtomicInteger();
    EventWorker<Integer> d =
        EventWorker.<Integer>builder("drain", e -> handled.incrementAndGet()).start();
    Runnable sender =
        () -> {
          for (int i = 0; i < 200_000; i++) {
            if (d.offer(i)) {
              accepted.incrementAndGet();
            }
          }
        };
    List<Thread> senders = List.of(new Thread(sender), new Thread(sender), new Thread(sender));
    senders.forEach(Thread::start);
    await().until(() -> handled.get() > 1000);
    d.close();
    for (Thread t : senders) {
      t.join();
    }
    assertEquals(accepted.get(), handled.get());
    assertFalse(d.offer(1));
  }

  @Test
  @DisplayName("closes within the limit when the handler blocks, and interrupts it")
  void closesWithinLimit() {
    AtomicInteger interrupted = new AtomicInteger();
    EventWorker<Integer> d =
        EventWorker.<Integer>builder(
                "hang",
                e -> {
                  waitForRelease();
                  interrupted.incrementAndGet();
                })
            .closeLimit(Duration.ofMillis(200))
            .start();
    d.offer(1);
    d.offer(2);
    long start = System.nanoTime();
    d.close();
    assertTrue(System.nanoTime() - start < Duration.ofSeconds(3).toNanos());
    await().until(() -> interrupted.get() == 1);
  }
}
