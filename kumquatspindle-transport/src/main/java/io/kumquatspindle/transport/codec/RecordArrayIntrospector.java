package io.kumquatspindle.transport.codec;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import java.lang.reflect.Method;

/**
 * Serializes records as arrays, except single-value types with {@code @JsonValue}, which stay
 * strings. The array introspector of the MessagePack library is not used because it also writes
 * enums as ordinals; names allow constants to be reordered.
 */
final class RecordArrayIntrospector extends JacksonAnnotationIntrospector {
  private static final long serialVersionUID = 1L;
  private static final JsonFormat.Value ARRAY = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);

  @Override
  public JsonFormat.Value findFormat(Annotated a) {
    JsonFormat.Value explicit = super.findFormat(a);
    if (explicit != null) {
      return explicit;
    }
    boolean array = a instanceof AnnotatedClass && isRecordOfFields(a.getRawType());
    return array ? ARRAY : null;
  }

  private static boolean isRecordOfFields(Class<?> type) {
    if (!type.isRecord()) {
      return false;
    }
    for (Method m : type.getDeclaredMethods()) {
      if (m.isAnnotationPresent(JsonValue.class)) {
        return false;
      }
    }
    return true;
  }
}
