package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of an endpoint: a model engine or an instance of a plain service.
 *
 * @param value the string form, never blank
 */
public record EndpointName(@JsonValue String value) implements Comparable<EndpointName> {

  /** Validates the string form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public EndpointName {
    NameValidator.requireName(value, "endpoint");
  }

  /**
   * Returns the identifier with the given string form.
   *
   * @param value the string form, never blank
   * @return the identifier
   */
  public static EndpointName of(String value) {
    return new EndpointName(value);
  }

  @Override
  public int compareTo(EndpointName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
