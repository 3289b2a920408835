package io.kumquatspindle.standins.endpoint;

import io.kumquatspindle.api.time.TimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Lets a limited number of requests run at once; more wait in order of arrival. */
final class WorkGate {
  private final TimerService timers;
  private final int capacity;
  private final int maxWaiting;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private int running;

  WorkGate(TimerService timers, int capacity, int maxWaiting) {
    this.timers = timers;
    this.capacity = capacity;
    this.maxWaiting = maxWaiting;
  }

  /** Runs the task now or later; returns false if too many tasks wait. */
  boolean enter(Runnable task) {
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

  /** Ends a task and starts the next one that waits. */
  void leave() {
    Runnable next;
    synchronized (this) {
      next = waiting.pollFirst();
      if (next == null) {
        running--;
        return;
      }
    }
    // A direct call would nest as deeply as cancelled requests wait.
    timers.after(Duration.ZERO, next);
  }

  synchronized int running() {
    return running;
  }

  synchronized int waiting() {
    return waiting.size();
  }
}
