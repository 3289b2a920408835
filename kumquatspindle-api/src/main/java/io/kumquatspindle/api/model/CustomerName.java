package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a customer.
 *
 * @param value the string form, never blank
 */
public record CustomerName(@JsonValue String value) implements Comparable<CustomerName> {

  /** Validates the string form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public CustomerName {
    NameValidator.requireName(value, "customer");
  }

  /**
   * Returns the identifier with the given string form.
   *
   * @param value the string form, never blank
   * @return the identifier
   */
  public static CustomerName of(String value) {
    return new CustomerName(value);
  }

  @Override
  public int compareTo(CustomerName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
