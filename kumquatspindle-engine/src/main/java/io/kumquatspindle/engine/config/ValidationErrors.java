package io.kumquatspindle.engine.config;

import java.util.ArrayList;
import java.util.List;

/** Collects the errors of a ticket, each a message that names the object and the field. */
final class ValidationErrors {
  private final List<String> messages = new ArrayList<>();

  void add(String object, String message) {
    messages.add(object + ": " + message);
  }

  void addAll(List<String> others) {
    messages.addAll(others);
  }

  /** Adds an error if a number is out of range. */
  void checkRange(String object, String field, long value, long min, long max) {
    if (value < min || value > max) {
      add(object, field + " must be from " + min + " to " + max + " but is " + value);
    }
  }

  /** Adds an error if a value is null; returns whether it is present. */
  boolean checkPresent(String object, String field, Object value) {
    if (value == null) {
      add(object, field + " is missing");
    }
    return value != null;
  }

  /** Returns the distinct messages, in the order in which they were added. */
  List<String> messages() {
    return messages.stream().distinct().toList();
  }
}
