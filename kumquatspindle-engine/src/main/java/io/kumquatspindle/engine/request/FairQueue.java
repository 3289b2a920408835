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
 * A bounded queue of waiting requests: by deadline within a customer, by deficit round robin
 * between customers. Not safe for use by several threads.
 *
 * @param <T> the requests; equal requests count as one
 */
public final class FairQueue<T> {
  /** Cost that a customer of weight 1 may use in one round, in tokens. */
  public static final long QUANTUM_TOKENS = 256;

  /**
   * A waiting request.
   *
   * @param item the request
   * @param customer whose request it is
   * @param weight the customer's weight, at least 1
   * @param cost tokens that the request is expected to use, at least 1
   * @param deadlineMs time by which it must have been polled, in milliseconds
   */
  public record Waiting<T>(T item, CustomerName customer, int weight, long cost, long deadlineMs) {
    /** Checks weight and cost. */
    public Waiting {
      if (weight < 1 || cost < 1) {
        throw new IllegalArgumentException("weight and cost must be at least 1");
      }
    }
  }

  private record Node<T>(Waiting<T> waiting, long sequence) {}

  private static final class Line<T> {
    final TreeSet<Node<T>> nodes =
        new TreeSet<>(
            Comparator.<Node<T>>comparingLong(n -> n.waiting().deadlineMs())
                .thenComparingLong(Node::sequence));
    long deficit;

    long quantum() {
      return QUANTUM_TOKENS * nodes.first().waiting().weight();
    }

    long missing() {
      return nodes.first().waiting().cost() - deficit;
    }
  }

  private final int capacity;
  private final Map<T, Node<T>> byItem = new HashMap<>();
  private final Map<CustomerName, Line<T>> lines = new HashMap<>();
  private final ArrayDeque<CustomerName> round = new ArrayDeque<>();
  // Requests that poll() found late; expire() hands them to the caller, so that none is lost.
  private final List<T> expired = new ArrayList<>();
  private long sequence;

  /**
   * Creates a queue.
   *
   * @param capacity the most requests that wait at once, at least 1
   */
  public FairQueue(int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity must be at least 1: " + capacity);
    }
    this.capacity = capacity;
  }

  /**
   * Adds a request.
   *
   * @param waiting the request
   * @return whether it waits now; false if the queue is full or the request waits already
   */
  public boolean offer(Waiting<T> waiting) {
    if (size() >= capacity || byItem.containsKey(waiting.item())) {
      return false;
    }
    Node<T> node = new Node<>(waiting, sequence++);
    byItem.put(waiting.item(), node);
    Line<T> line = lines.computeIfAbsent(waiting.customer(), c -> new Line<>());
    if (line.nodes.isEmpty()) {
      line.deficit = QUANTUM_TOKENS * waiting.weight();
      round.addLast(waiting.customer());
    }
    line.nodes.add(node);
    return true;
  }

  /**
   * Takes the next request whose deadline has not passed. Requests whose deadline has passed stay
   * for {@link #expire}.
   *
   * @param nowMs current time in milliseconds
   * @return the request, or empty if none waits that can be served in time
   */
  public Optional<T> poll(long nowMs) {
    expired.addAll(removeLate(nowMs));
    return round.isEmpty() ? Optional.empty() : Optional.of(pollRound());
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
    result.addAll(removeLate(nowMs));
    return result;
  }

  /**
   * Removes a request, for example because its caller has gone.
   *
   * @param item the request
   * @return whether it was waiting
   */
  public boolean remove(T item) {
    Node<T> node = byItem.get(item);
    if (node == null) {
      return expired.remove(item);
    }
    unlink(node);
    return true;
  }

  /**
   * Returns the earliest deadline of a waiting request.
   *
   * @return time in milliseconds, or empty if none waits
   */
  public OptionalLong earliestDeadlineMs() {
    return lines.values().stream().mapToLong(l -> l.nodes.first().waiting().deadlineMs()).min();
  }

  /**
   * Returns the request with the earliest deadline.
   *
   * @return the request, or empty if none waits
   */
  public Optional<Waiting<T>> mostUrgent() {
    return lines.values().stream()
        .map(l -> l.nodes.first().waiting())
        .min(Comparator.comparingLong(Waiting::deadlineMs));
  }

  /**
   * Visits the requests that {@link #poll} may still return, in no particular order.
   *
   * @param visitor called for each request; must not change the queue
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

  private T pollRound() {
    for (int i = round.size(); i > 0; i--) {
      Line<T> line = lines.get(round.peekFirst());
      if (line.missing() <= 0) {
        return serve(line);
      }
      line.deficit += line.quantum();
      round.addLast(round.pollFirst());
    }
    skipIdleRounds();
    return pollRound();
  }

  // Adds the quanta of all rounds in which no customer could be served, without looping over them.
  private void skipIdleRounds() {
    long rounds =
        lines.values().stream()
            .mapToLong(l -> Math.max(0, l.missing()) / l.quantum())
            .min()
            .orElse(0);
    lines.values().forEach(l -> l.deficit += rounds * l.quantum());
  }

  private T serve(Line<T> line) {
    Node<T> node = line.nodes.first();
    line.deficit -= node.waiting().cost();
    unlink(node);
    return node.waiting().item();
  }

  private List<T> removeLate(long nowMs) {
    List<T> late = new ArrayList<>();
    for (Line<T> line : List.copyOf(lines.values())) {
      while (!line.nodes.isEmpty() && line.nodes.first().waiting().deadlineMs() <= nowMs) {
        Node<T> node = line.nodes.first();
        late.add(node.waiting().item());
        unlink(node);
      }
    }
    return late;
  }

  private void unlink(Node<T> node) {
    byItem.remove(node.waiting().item());
    CustomerName customer = node.waiting().customer();
    Line<T> line = lines.get(customer);
    line.nodes.remove(node);
    if (line.nodes.isEmpty()) {
      lines.remove(customer);
      round.remove(customer);
    }
  }
}
