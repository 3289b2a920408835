package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a plain service.
 *
 * @param value the text form, never blank
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {

  /** Checks the text form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ServiceName {
    Names.requireName(value, "service");
  }

  /**
   * Returns the identifier with the given text form.
   *
   * @param value the text form, never blank
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
