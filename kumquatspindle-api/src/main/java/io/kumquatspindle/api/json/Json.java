package io.kumquatspindle.api.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;

/** Encodes and decodes tickets, log records and admin pages as JSON. */
public final class Json {
  private static final ObjectMapper LENIENT = newMapper(false);
  private static final ObjectMapper STRICT = newMapper(true);

  private Json() {}

  /**
   * Returns the mapper that ignores unknown fields, for records that a newer version may have
   * written.
   *
   * @return the shared mapper
   */
  public static ObjectMapper mapper() {
    return LENIENT;
  }

  /**
   * Returns the mapper that rejects unknown fields, for input written by people.
   *
   * @return the shared mapper
   */
  public static ObjectMapper strictMapper() {
    return STRICT;
  }

  /**
   * Encodes a value.
   *
   * @param value the value
   * @return its JSON text in UTF-8
   * @throws IllegalArgumentException if the value cannot be serialized
   */
  public static byte[] encode(Object value) {
    try {
      return LENIENT.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode as JSON: " + value.getClass().getName(), e);
    }
  }

  /**
   * Decodes a value, ignoring unknown fields.
   *
   * @param json JSON text in UTF-8
   * @param type the type of the value
   * @return the value
   * @throws IOException if the text is not valid JSON for the type
   */
  public static <T> T decode(byte[] json, Class<T> type) throws IOException {
    return LENIENT.readValue(json, type);
  }

  private static ObjectMapper newMapper(boolean strict) {
    return JsonMapper.builder()
        .addModule(new Jdk8Module())
        .serializationInclusion(JsonInclude.Include.NON_ABSENT)
        .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, strict)
        .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, false)
        .build();
  }
}
