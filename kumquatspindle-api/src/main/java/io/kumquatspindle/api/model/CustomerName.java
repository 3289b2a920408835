package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a customer.
 *
 * @param value the text form, never blank
 */
public record CustomerName(@JsonValue String value) implements Comparable<CustomerName> {

  /** Checks the text form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public CustomerName {
    Names.requireName(value, "customer");
  }

  /**
   * Returns the identifier with the given text form.
   *
   * @param value the text form, never blank
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
