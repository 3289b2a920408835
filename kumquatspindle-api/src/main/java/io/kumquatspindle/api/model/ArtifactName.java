package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a model or an adapter; both share one name space.
 *
 * @param value the text form, never blank
 */
public record ArtifactName(@JsonValue String value) implements Comparable<ArtifactName> {

  /** Checks the text form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ArtifactName {
    Names.requireName(value, "artifact");
  }

  /**
   * Returns the identifier with the given text form.
   *
   * @param value the text form, never blank
   * @return the identifier
   */
  public static ArtifactName of(String value) {
    return new ArtifactName(value);
  }

  @Override
  public int compareTo(ArtifactName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
