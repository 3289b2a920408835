package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a failure domain.
 *
 * @param value the text form, never blank
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {

  /** Checks the text form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public FailureDomain {
    Names.requireName(value, "failure domain");
  }

  /**
   * Returns the identifier with the given text form.
   *
   * @param value the text form, never blank
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
