package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a model or an adapter; both share one namespace.
 *
 * @param value the string form, never blank
 */
public record ArtifactName(@JsonValue String value) implements Comparable<ArtifactName> {

  /** Validates the string form. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ArtifactName {
    NameValidator.requireName(value, "artifact");
  }

  /**
   * Returns the identifier with the given string form.
   *
   * @param value the string form, never blank
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
