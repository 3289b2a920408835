package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one VM; a replacement VM has a new identifier.
 *
 * @param value the text form, never blank
 */
public record VmId(@JsonValue String value) implements Comparable<VmId> {

  /** Checks the text form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public VmId {
    Names.requireName(value, "VM");
  }

  /**
   * Returns the identifier with the given text form.
   *
   * @param value the text form, never blank
   * @return the identifier
   */
  public static VmId of(String value) {
    return new VmId(value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
