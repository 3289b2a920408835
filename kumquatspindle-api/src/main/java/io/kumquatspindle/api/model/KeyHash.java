package io.kumquatspindle.api.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * The SHA-256 hash of a caller's API key, as 64 lower-case hexadecimal digits.
 *
 * @param value the hexadecimal digits
 */
public record KeyHash(@JsonValue String value) {
  private static final Pattern HEX_SHA256 = Pattern.compile("[0-9a-f]{64}");

  /** Validates the digits. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public KeyHash {
    if (value == null || !HEX_SHA256.matcher(value).matches()) {
      throw new IllegalArgumentException("key hash must be 64 lower-case hexadecimal digits");
    }
  }

  /**
   * Returns the hash of a key.
   *
   * @param key the key as sent by the caller
   * @return its hash
   */
  public static KeyHash ofKey(String key) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      byte[] digest = sha.digest(key.getBytes(StandardCharsets.UTF_8));
      return new KeyHash(HexFormat.of().formatHex(digest));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform must support SHA-256", e);
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
