package io.kumquatspindle.engine.request;

import io.kumquatspindle.api.model.CustomerName;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * A bounded queue of waiting requests, ordered by earliest deadline within a customer and by
 * weighted deficit round robin between customers. Not thread-safe.
 *
 * @param <T> the type of requests; equal requests are treated as one
 */
public final class FairQueue<T> {
  /** Quantum of a customer of weight 1 in each round, in tokens. */
  public static final long QUANTUM_TOKENS = 256;

  /**
   * A waiting request.
   *
   * @param item the request
   * @param customer the customer that sent the request
   * @param weight the customer's weight, at least 1
   * @param cost expected tokens of the request, at least 1
   * @param deadlineMs time by which the request must be polled, in milliseconds
   */
  public record QueuedRequest<T>(
      T item, CustomerName customer, int weight, long cost, long deadlineMs) {
    /** Validates weight and cost. */
    public QueuedRequest {
      if (weight < 1 || cost < 1) {
        throw new IllegalArgumentException("weight and cost must be at least 1");
      }
    }
  }

  private record SequencedRequest<T>(QueuedRequest<T> queued, long sequence) {}

  private static final class CustomerQueue<T> {
    final TreeSet<SequencedRequest<T>> requests =
        new TreeSet<>(
            Comparator.<SequencedRequest<T>>comparingLong(n -> n.queued().deadlineMs())
                .thenComparingLong(SequencedRequest::sequence));
    long deficit;

    long quantum() {
      return QUANTUM_TOKENS * requests.first().queued().weight();
    }

    long deficitShortfall() {
      return requests.first().queued().cost() - deficit;
    }
  }

  private final int capacity;
  private final Map<T, SequencedRequest<T>> byItem = new HashMap<>();
  private final Map<CustomerName, CustomerQueue<T>> customerQueues = new HashMap<>();
  private final ArrayDeque<CustomerName> roundRobin = new ArrayDeque<>();
  // Requests that poll() found expired. expire() returns them to the caller, so that none is lost.
  private final List<T> expired = new ArrayList<>();
  private long sequence;

  /**
   * Creates a queue.
   *
   * @param capacity maximum number of waiting requests, at least 1
   */
  public FairQueue(int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity must be at least 1 but was " + capacity);
    }
    this.capacity = capacity;
  }

  /**
   * Adds a request.
   *
   * @param queuedRequest the request
   * @return whether it was added; false if the queue is full or already contains the request
   */
  public boolean offer(QueuedRequest<T> queuedRequest) {
    if (size() >= capacity || byItem.containsKey(queuedRequest.item())) {
      return false;
    }
    SequencedRequest<T> request = new SequencedRequest<>(queuedRequest, sequence++);
    byItem.put(queuedRequest.item(), request);
    CustomerQueue<T> queue =
        customerQueues.computeIfAbsent(queuedRequest.customer(), c -> new CustomerQueue<>());
    if (queue.requests.isEmpty()) {
      queue.deficit = QUANTUM_TOKENS * queuedRequest.weight();
      roundRobin.addLast(queuedRequest.customer());
    }
    queue.requests.add(request);
    return true;
  }

  /**
   * Removes the next request whose deadline has not passed. Requests whose deadline has passed are
   * kept for {@link #expire}.
   *
   * @param nowMs current time in milliseconds
   * @return the request, or empty if no unexpired request is waiting
   */
  public Optional<T> poll(long nowMs) {
    expired.addAll(removeExpired(nowMs));
    return roundRobin.isEmpty() ? Optional.empty() : Optional.of(pollRoundRobin());
  }

  /**
   * Removes the requests whose deadline has passed.
   *
   * @param nowMs current time in milliseconds
   * @return the removed requests
   */
  public List<T> expire(long nowMs) {
    List<T> result = new ArrayList<>(expired);
    expired.clear();
    result.addAll(removeExpired(nowMs));
    return result;
  }

  /**
   * Removes a request, for example because its caller has disconnected.
   *
   * @param item the request
   * @return whether it was waiting
   */
  public boolean remove(T item) {
    SequencedRequest<T> request = byItem.get(item);
    if (request == null) {
      return expired.remove(item);
    }
    unlink(request);
    return true;
  }

  /**
   * Returns the earliest deadline of a waiting request.
   *
   * @return the deadline in milliseconds, or empty if no request is waiting
   */
  public OptionalLong earliestDeadlineMs() {
    return customerQueues.values().stream()
        .mapToLong(queue -> queue.requests.first().queued().deadlineMs())
        .min();
  }

  /**
   * Returns the request with the earliest deadline.
   *
   * @return the request, or empty if no request is waiting
   */
  public Optional<QueuedRequest<T>> mostUrgent() {
    return customerQueues.values().stream()
        .map(queue -> queue.requests.first().queued())
        .min(Comparator.comparingLong(QueuedRequest::deadlineMs));
  }

  /**
   * Visits the requests that {@link #poll} may still return, in no particular order.
   *
   * @param visitor called for each request; must not modify the queue
   */
  public void forEach(Consumer<T> visitor) {
    byItem.keySet().forEach(visitor);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int size() {
    return byItem.size() + expired.size();
  }

  private T pollRoundRobin() {
    for (int i = roundRobin.size(); i > 0; i--) {
      CustomerQueue<T> queue = customerQueues.get(roundRobin.peekFirst());
      if (queue.deficitShortfall() <= 0) {
        return take(queue);
      }
      queue.deficit += queue.quantum();
      roundRobin.addLast(roundRobin.pollFirst());
    }
    skipIdleRounds();
    return pollRoundRobin();
  }

  // Adds the quanta of all rounds in which no customer has enough deficit, without looping.
  private void skipIdleRounds() {
    long rounds =
        customerQueues.values().stream()
            .mapToLong(queue -> Math.max(0, queue.deficitShortfall()) / queue.quantum())
            .min()
            .orElse(0);
    customerQueues.values().forEach(queue -> queue.deficit += rounds * queue.quantum());
  }

  private T take(CustomerQueue<T> queue) {
    SequencedRequest<T> request = queue.requests.first();
    queue.deficit -= request.queued().cost();
    unlink(request);
    return request.queued().item();
  }

  private List<T> removeExpired(long nowMs) {
    List<T> removed = new ArrayList<>();
    for (CustomerQueue<T> queue : List.copyOf(customerQueues.values())) {
      while (!queue.requests.isEmpty() && queue.requests.first().queued().deadlineMs() <= nowMs) {
        SequencedRequest<T> request = queue.requests.first();
        removed.add(request.queued().item());
        unlink(request);
      }
    }
    return removed;
  }

  private void unlink(SequencedRequest<T> request) {
    byItem.remove(request.queued().item());
    CustomerName customer = request.queued().customer();
    CustomerQueue<T> queue = customerQueues.get(customer);
    queue.requests.remove(request);
    if (queue.requests.isEmpty()) {
      customerQueues.remove(customer);
      roundRobin.remove(customer);
    }
  }
}
