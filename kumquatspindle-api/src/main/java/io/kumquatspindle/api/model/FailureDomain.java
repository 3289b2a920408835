package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a failure domain.
 *
 * @param value the string form, never blank
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {

  /** Validates the string form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public FailureDomain {
    NameValidator.requireName(value, "failure domain");
  }

  /**
   * Returns the identifier with the given string form.
   *
   * @param value the string form, never blank
   * @return the identifier
   */
  public static FailureDomain of(String value) {
    return new FailureDomain(value);
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
