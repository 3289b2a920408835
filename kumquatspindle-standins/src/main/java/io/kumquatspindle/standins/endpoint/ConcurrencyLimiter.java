package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.api.time.TimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Limits the number of requests that run concurrently; more are queued in order of arrival. */
final class ConcurrencyLimiter {
  private final TimerService timers;
  private final int capacity;
  private final int maxWaiting;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private int running;

  ConcurrencyLimiter(TimerService timers, int capacity, int maxWaiting) {
    this.timers = timers;
    this.capacity = capacity;
    this.maxWaiting = maxWaiting;
  }

  /** Runs or queues the task; returns false if the queue is full. */
  boolean submit(Runnable task) {
    synchronized (this) {
      if (running >= capacity) {
        if (waiting.size() >= maxWaiting) {
          return false;
        }
        waiting.addLast(task);
        return true;
      }
      running++;
    }
    task.run();
    return true;
  }

  /** Must be called when a task has ended; starts the next queued task. */
  void release() {
    Runnable next;
    synchronized (this) {
      next = waiting.pollFirst();
      if (next == null) {
        running--;
        return;
      }
    }
    // Queued requests that were cancelled end immediately, so direct calls would nest as deeply as
    // there are such requests in the queue.
    timers.after(Duration.ZERO, next);
  }

  synchronized int running() {
    return running;
  }

  synchronized int waiting() {
    return waiting.size();
  }
}
