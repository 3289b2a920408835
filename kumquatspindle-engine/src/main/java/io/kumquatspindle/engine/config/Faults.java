package io.kumquatspindle.engine.config;

import java.util.ArrayList;
import java.util.List;

/** Collects the faults of a ticket, each one sentence that names the object and the field. */
final class Faults {
  private final List<String> sentences = new ArrayList<>();

  void add(String object, String sentence) {
    sentences.add(object + ": " + sentence);
  }

  void addAll(List<String> others) {
    sentences.addAll(others);
  }

  /** Notes a fault if a number is out of range. */
  void range(String object, String field, long value, long min, long max) {
    if (value < min || value > max) {
      add(object, field + " must be from " + min + " to " + max + " but is " + value);
    }
  }

  /** Notes a fault if a value is absent, and tells whether it is present. */
  boolean present(String object, String field, Object value) {
    if (value == null) {
      add(object, field + " is missing");
    }
    return value != null;
  }

  /** Returns each sentence once, in the order found. */
  List<String> sentences() {
    return sentences.stream().distinct().toList();
  }
}
