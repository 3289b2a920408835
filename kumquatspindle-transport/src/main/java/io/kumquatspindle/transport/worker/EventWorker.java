package io.kumquatspindle.transport.worker;

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
 * A named thread that handles events from a bounded ring buffer in the order of submission.
 *
 * @param <E> the type of the events
 */
public final class EventWorker<E> implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CLOSE_POLL_MS = 1;
  private static final Set<EventWorker<?>> RUNNING = ConcurrentHashMap.newKeySet();

  private final String name;
  private final Consumer<? super E> handler;
  private final long closeLimitNanos;
  private final RingBuffer<Slot<E>> ringBuffer;
  private final EventTranslatorOneArg<Slot<E>, E> eventTranslator =
      (slot, sequence, event) -> slot.event = event;
  private final BatchEventProcessor<Slot<E>> processor;
  private final Thread thread;
  private final LongAdder handled = new LongAdder();
  private final LongAdder rejected = new LongAdder();
  private final AtomicInteger pendingOffers = new AtomicInteger();
  private volatile boolean closed;

  private EventWorker(Builder<E> builder) {
    name = builder.name;
    handler = builder.handler;
    closeLimitNanos = builder.closeLimit.toNanos();
    ringBuffer =
        RingBuffer.createMultiProducer(Slot::new, builder.capacity, new BlockingWaitStrategy());
    // A batch size of 1 frees each slot as soon as its event has been handled. With the default
    // size the slots of a batch are freed together, so offers are rejected while handled events
    // still take up slots.
    processor =
        new BatchEventProcessorBuilder()
            .setMaxBatchSize(1)
            .build(
                ringBuffer, ringBuffer.newBarrier(), (slot, sequence, endOfBatch) -> handle(slot));
    ringBuffer.addGatingSequences(processor.getSequence());
    thread = new Thread(processor, name);
    thread.setDaemon(true);
  }

  /**
   * Returns a builder.
   *
   * @param name name of the thread, also used as the value of the metric label
   * @param handler handles the events on that thread; anything it throws is logged, and the worker
   *     continues with the next event
   * @return the builder
   */
  public static <E> Builder<E> builder(String name, Consumer<? super E> handler) {
    return new Builder<>(name, handler);
  }

  /**
   * Enqueues an event without blocking. Thread-safe.
   *
   * @param event the event
   * @return false if the ring buffer is full or the worker is closed; the rejection is counted
   */
  public boolean offer(E event) {
    Objects.requireNonNull(event, "event");
    pendingOffers.incrementAndGet();
    try {
      boolean accepted = !closed && ringBuffer.tryPublishEvent(eventTranslator, event);
      if (!accepted) {
        rejected.increment();
      }
      return accepted;
    } finally {
      pendingOffers.decrementAndGet();
    }
  }

  /**
   * Returns the number of accepted events that have not been handled.
   *
   * @return the number, including an event that is currently being handled
   */
  public int backlog() {
    return (int) (ringBuffer.getBufferSize() - ringBuffer.remainingCapacity());
  }

  /**
   * Returns the workers of this process that have been started and not closed.
   *
   * @return the workers, in no particular order
   */
  public static List<EventWorker<?>> running() {
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
   * Returns the number of handled events, including those whose handler threw an exception.
   *
   * @return the number since the start
   */
  public long handled() {
    return handled.sum();
  }

  /**
   * Returns the number of rejected events.
   *
   * @return the number since the start
   */
  public long rejected() {
    return rejected.sum();
  }

  /**
   * Stops accepting events, waits until the accepted events have been handled, and stops the
   * thread. After the close limit the thread is interrupted and the remaining events are discarded.
   *
   * @throws IllegalStateException if called on the worker's own thread
   */
  @Override
  public void close() {
    if (Thread.currentThread() == thread) {
      throw new IllegalStateException(
          "event worker " + name + " cannot be closed from its own thread");
    }
    closed = true;
    RUNNING.remove(this);
    long deadline = System.nanoTime() + closeLimitNanos;
    boolean interrupted = false;
    // A concurrent offer that saw the worker open may not have published its event yet.
    while ((pendingOffers.get() > 0 || backlog() > 0) && System.nanoTime() - deadline < 0) {
      try {
        Thread.sleep(CLOSE_POLL_MS);
      } catch (InterruptedException e) {
        interrupted = true;
        break;
      }
    }
    stopThread();
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void stopThread() {
    int unhandled = backlog();
    processor.halt();
    if (unhandled > 0) {
      logger.atWarning().log(
          "event worker %s stopped at its close limit; %d events not handled", name, unhandled);
      thread.interrupt();
    }
  }

  // Catches Throwable because an Error would end the thread that owns the state.
  private void handle(Slot<E> slot) {
    E event = slot.event;
    slot.event = null;
    try {
      handler.accept(event);
    } catch (Throwable t) {
      String type = event.getClass().getSimpleName();
      logger.atSevere().withCause(t).log(
          "event worker %s failed to handle an event of type %s", name, type);
    } finally {
      handled.increment();
      // Clears an interrupt flag left by the handler; waiting for the next event would throw and
      // end the thread.
      boolean unused = Thread.interrupted();
    }
  }

  /** A slot of the ring buffer. */
  private static final class Slot<E> {
    private E event;
  }

  /**
   * Builds an event worker. Defaults: 1024 slots, close limit 5 s.
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
     * Sets the capacity of the ring buffer.
     *
     * @param slots number of slots, a power of two
     * @return this builder
     */
    public Builder<E> capacity(int slots) {
      if (Integer.bitCount(slots) != 1 || slots < 1) {
        throw new IllegalArgumentException("capacity must be a power of two but was " + slots);
      }
      capacity = slots;
      return this;
    }

    /**
     * Sets how long {@link EventWorker#close} waits for accepted events to be handled.
     *
     * @param limit the maximum wait
     * @return this builder
     */
    public Builder<E> closeLimit(Duration limit) {
      closeLimit = Objects.requireNonNull(limit, "limit");
      return this;
    }

    /**
     * Starts the thread.
     *
     * @return the worker
     */
    public EventWorker<E> start() {
      EventWorker<E> worker = new EventWorker<>(this);
      RUNNING.add(worker);
      worker.thread.start();
      return worker;
    }
  }
}
