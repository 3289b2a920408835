package io.kumquatspindle.api.metrics;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A registry name of the form {@code name} or {@code name{key="value",...}}, as the text page has
 * it.
 *
 * @param family the name with characters that the page does not allow replaced by an underscore
 * @param labels the labels without braces, empty if there are none
 */
record MetricName(String family, String labels) {
  private static final String LABEL = "[a-zA-Z_][a-zA-Z0-9_]*=\"(?:[^\"\\\\\\n]|\\\\[\\\\\"n])*\"";
  private static final Pattern LABELLED =
      Pattern.compile("([^{]+)\\{(" + LABEL + "(?:," + LABEL + ")*)\\}", Pattern.DOTALL);

  /** Parses a registry name; one whose labels are malformed is taken for a name without labels. */
  static MetricName parse(String name) {
    Matcher m = LABELLED.matcher(name);
    if (m.matches()) {
      return new MetricName(sanitise(m.group(1)), m.group(2));
    }
    return new MetricName(sanitise(name), "");
  }

  static String sanitise(String name) {
    String clean = name.replaceAll("[^a-zA-Z0-9_:]", "_");
    return clean.isEmpty() || Character.isDigit(clean.charAt(0)) ? "_" + clean : clean;
  }

  static String escape(String value) {
    return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
  }

  /** Returns the labels in braces with one more label; an empty one adds nothing. */
  String braces(String more) {
    String all = labels.isEmpty() || more.isEmpty() ? labels + more : labels + "," + more;
    return all.isEmpty() ? "" : "{" + all + "}";
  }
}
