package io.kumquatspindle.entry.http;

/** Estimates the memory that a request takes once it is handled. */
final class RequestMemory {
  private static final String COMPLETIONS = "/v1/";

  /** Memory of an object or array of JSON with its first entry, in bytes. */
  private static final long CONTAINER_BYTES = 112;

  /** Memory of a further element, in bytes: a reference and a number. */
  private static final long ELEMENT_BYTES = 24;

  /** Memory of a field, in bytes: an entry of a map, and its name. */
  private static final long FIELD_BYTES = 96;

  private RequestMemory() {}

  /**
   * Returns the memory of what a body is parsed into. Three bytes of JSON can take more than a
   * hundred bytes. Parsed are completions, and other JSON with escapes, which can hide a key.
   *
   * @param path path of the request
   * @param contentType type of the body, in lower case
   * @param body the body
   * @return an estimate in bytes
   */
  static long ofParsedBody(String path, String contentType, byte[] body) {
    long bytes = 0;
    boolean escapes = false;
    for (byte b : body) {
      escapes |= b == '\\';
      bytes +=
          switch (b) {
            case '{', '[' -> CONTAINER_BYTES;
            case ',' -> ELEMENT_BYTES;
            case ':' -> FIELD_BYTES;
            default -> 0;
          };
    }
    boolean parsed = path.startsWith(COMPLETIONS) || (escapes && contentType.contains("json"));
    return parsed ? bytes : 0;
  }
}
