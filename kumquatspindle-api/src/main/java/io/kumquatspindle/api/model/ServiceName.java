package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a plain service.
 *
 * @param value the string form, never blank
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {

  /** Validates the string form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ServiceName {
    NameValidator.requireName(value, "service");
  }

  /**
   * Returns the identifier with the given string form.
   *
   * @param value the string form, never blank
   * @return the identifier
   */
  public static ServiceName of(String value) {
    return new ServiceName(value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
