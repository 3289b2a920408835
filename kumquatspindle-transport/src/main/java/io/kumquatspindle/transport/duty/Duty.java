package io.kumquatspindle.transport.duty;

import com.google.common.flogger.FluentLogger;
import com.lmax.disruptor.BatchEventProcessor;
import com.lmax.disruptor.BatchEventProcessorBuilder;
import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventTranslatorOneArg;
import com.lmax.disruptor.RingBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * One named thread that handles events from one bounded ring buffer, in the order of the offers.
 *
 * @param <E> the type of the events
 */
public final class Duty<E> implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CLOSE_POLL_MS = 1;
  private static final Set<Duty<?>> RUNNING = ConcurrentHashMap.newKeySet();

  private final String name;
  private final Consumer<? super E> handler;
  private final long closeLimitNanos;
  private final RingBuffer<Slot<E>> ring;
  private final EventTranslatorOneArg<Slot<E>, E> fill =
      (slot, sequence, event) -> slot.event = event;
  private final BatchEventProcessor<Slot<E>> processor;
  private final Thread thread;
  private final LongAdder handled = new LongAdder();
  private final LongAdder rejected = new LongAdder();
  private final AtomicInteger offering = new AtomicInteger();
  private volatile boolean closed;

  private Duty(Builder<E> builder) {
    name = builder.name;
    handler = builder.handler;
    closeLimitNanos = builder.closeLimit.toNanos();
    ring = RingBuffer.createMultiProducer(Slot::new, builder.capacity, new BlockingWaitStrategy());
    // With batches of one event a slot is free as soon as its event is handled. With the default
    // the slots of all waiting events are freed together, so offers fail while there is room.
    processor =
        new BatchEventProcessorBuilder()
            .setMaxBatchSize(1)
            .build(ring, ring.newBarrier(), (slot, sequence, endOfBatch) -> handle(slot));
    ring.addGatingSequences(processor.getSequence());
    thread = new Thread(processor, name);
    thread.setDaemon(true);
  }

  /**
   * Returns a builder.
   *
   * @param name name of the thread
   * @param handler handles each event on the thread; an exception is logged and the next event is
   *     handled
   * @return the builder
   */
  public static <E> Builder<E> builder(String name, Consumer<? super E> handler) {
    return new Builder<>(name, handler);
  }

  /**
   * Hands an event over without blocking; may be called on any thread.
   *
   * @param event the event
   * @return false if the ring buffer is full or the duty is closed, which is counted
   */
  public boolean offer(E event) {
    Objects.requireNonNull(event, "event");
    offering.incrementAndGet();
    try {
      boolean accepted = !closed && ring.tryPublishEvent(fill, event);
      if (!accepted) {
        rejected.increment();
      }
      return accepted;
    } finally {
      offering.decrementAndGet();
    }
  }

  /**
   * Returns the number of events that are accepted and not yet handled.
   *
   * @return the number, including the event that is being handled
   */
  public int backlog() {
    return (int) (ring.getBufferSize() - ring.remainingCapacity());
  }

  /**
   * Returns the duties of this process that have started and have not been closed.
   *
   * @return the duties, in no particular order
   */
  public static List<Duty<?>> running() {
    return List.copyOf(RUNNING);
  }

  /**
   * Returns the name of the thread.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the number of events that were handled.
   *
   * @return the number since the start
   */
  public long handled() {
    return handled.sum();
  }

  /**
   * Returns the number of events that were not accepted.
   *
   * @return the number since the start
   */
  public long rejected() {
    return rejected.sum();
  }

  /**
   * Accepts no more events, handles the accepted ones and ends the thread. After the close limit
   * the thread is interrupted and events that are left are not handled.
   *
   * @throws IllegalStateException if called on the duty's own thread
   */
  @Override
  public void close() {
    if (Thread.currentThread() == thread) {
      throw new IllegalStateException("a duty cannot wait for itself: " + name);
    }
    closed = true;
    RUNNING.remove(this);
    long deadline = System.nanoTime() + closeLimitNanos;
    boolean interrupted = false;
    // An offer that saw the duty open may still be about to publish its event.
    while ((offering.get() > 0 || backlog() > 0) && System.nanoTime() - deadline < 0) {
      try {
        Thread.sleep(CLOSE_POLL_MS);
      } catch (InterruptedException e) {
        interrupted = true;
        break;
      }
    }
    stop();
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void stop() {
    int left = backlog();
    processor.halt();
    if (left > 0) {
      logger.atWarning().log("duty %s stops with %d events left", name, left);
      thread.interrupt();
    }
  }

  // An Error would end the thread and leave its state without an owner.
  private void handle(Slot<E> slot) {
    E event = slot.event;
    slot.event = null;
    try {
      handler.accept(event);
    } catch (Throwable t) {
      String kind = event.getClass().getSimpleName();
      logger.atSevere().withCause(t).log(
          "duty %s failed to handle an event of kind %s", name, kind);
    } finally {
      handled.increment();
      // The wait for the next event would throw for a handler that left its thread interrupted, and
      // that would end the thread.
      boolean unused = Thread.interrupted();
    }
  }

  /** A place of the ring buffer. */
  private static final class Slot<E> {
    private E event;
  }

  /**
   * Builds a duty with 1024 places and a close limit of 5 s by default.
   *
   * @param <E> the type of the events
   */
  public static final class Builder<E> {
    private static final int DEFAULT_CAPACITY = 1024;

    private final String name;
    private final Consumer<? super E> handler;
    private int capacity = DEFAULT_CAPACITY;
    private Duration closeLimit = Duration.ofSeconds(5);

    private Builder(String name, Consumer<? super E> handler) {
      this.name = Objects.requireNonNull(name, "name");
      this.handler = Objects.requireNonNull(handler, "handler");
    }

    /**
     * Sets the number of places of the ring buffer.
     *
     * @param places a power of two
     * @return this builder
     */
    public Builder<E> capacity(int places) {
      if (Integer.bitCount(places) != 1 || places < 1) {
        throw new IllegalArgumentException("capacity must be a power of two but was " + places);
      }
      capacity = places;
      return this;
    }

    /**
     * Sets how long {@link Duty#close} waits for accepted events.
     *
     * @param limit the limit
     * @return this builder
     */
    public Builder<E> closeLimit(Duration limit) {
      closeLimit = Objects.requireNonNull(limit, "limit");
      return this;
    }

    /**
     * Starts the thread.
     *
     * @return the duty
     */
    public Duty<E> start() {
      Duty<E> duty = new Duty<>(this);
      RUNNING.add(duty);
      duty.thread.start();
      return duty;
    }
  }
}
