package io.kumquatspindle.transport.codec;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import java.lang.reflect.Method;

/**
 * Gives records the array shape, except typed names, which are text. The array shape of the
 * MessagePack library also covers enums, which it writes as their position; here they keep their
 * names, so that constants can be reordered.
 */
final class RecordsAsArrays extends JacksonAnnotationIntrospector {
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
