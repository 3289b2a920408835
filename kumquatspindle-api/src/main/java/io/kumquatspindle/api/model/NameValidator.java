package io.kumquatspindle.api.model;

import java.util.regex.Pattern;

/** Validates names chosen by operators. */
final class NameValidator {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@/-]{0,127}");

  private NameValidator() {}

  static void requireName(String value, String what) {
    if (value == null || !NAME.matcher(value).matches()) {
      throw new IllegalArgumentException(
          what + " name must match " + NAME.pattern() + " but was: " + value);
    }
  }
}
