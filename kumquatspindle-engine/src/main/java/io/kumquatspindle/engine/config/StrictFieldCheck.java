package io.kumquatspindle.engine.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Finds unknown fields and nulls in the JSON form of a record type. Jackson alone would stop at the
 * first unknown field, and would treat an explicit null, which is usually a mistake, as an absent
 * field.
 */
final class StrictFieldCheck {
  private final List<String> errors = new ArrayList<>();

  /** Returns one message for each unknown field and null, with its JSON path. */
  static List<String> findErrors(JsonNode node, Class<? extends Record> type) {
    StrictFieldCheck check = new StrictFieldCheck();
    check.visit(node, type, "$");
    return check.errors;
  }

  private void visit(JsonNode node, Type type, String path) {
    if (node.isNull() || node.isMissingNode()) {
      errors.add(path + ": null is not allowed");
    } else if (type instanceof ParameterizedType p) {
      visitElements(node, p, path);
    } else if (node.isObject() && type instanceof Class<?> c && c.isRecord()) {
      node.properties().forEach(e -> visitField(e.getValue(), c, e.getKey(), path));
    }
  }

  private void visitField(JsonNode node, Class<?> type, String name, String path) {
    Optional<RecordComponent> component =
        Arrays.stream(type.getRecordComponents()).filter(c -> c.getName().equals(name)).findFirst();
    if (component.isPresent()) {
      visit(node, component.get().getGenericType(), path + "." + name);
    } else {
      errors.add(path + "." + name + ": no such field");
    }
  }

  // Tickets use no generic types other than lists, sets and Optional.
  private void visitElements(JsonNode node, ParameterizedType type, String path) {
    Type element = type.getActualTypeArguments()[0];
    if (type.getRawType() == Optional.class) {
      visit(node, element, path);
      return;
    }
    for (int i = 0; node.isArray() && i < node.size(); i++) {
      visit(node.get(i), element, path + "[" + i + "]");
    }
  }
}
