package io.kumquatspindle.api.metrics;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A metric name with optional labels, in the form {@code name} or {@code name{key="value",...}} of
 * the Prometheus text format.
 *
 * @param family the name, with characters that the format does not allow replaced by underscores
 * @param labels the labels without braces, empty if there are none
 */
record MetricName(String family, String labels) {
  private static final String LABEL = "[a-zA-Z_][a-zA-Z0-9_]*=\"(?:[^\"\\\\\\n]|\\\\[\\\\\"n])*\"";
  private static final Pattern NAME_WITH_LABELS =
      Pattern.compile("([^{]+)\\{(" + LABEL + "(?:," + LABEL + ")*)\\}", Pattern.DOTALL);

  /** Parses a registry name; if the labels are malformed, the whole text is used as the name. */
  static MetricName parse(String name) {
    Matcher m = NAME_WITH_LABELS.matcher(name);
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

  /** Returns the labels and an extra label in braces; an empty extra label is omitted. */
  String labelSet(String extra) {
    String all = labels.isEmpty() || extra.isEmpty() ? labels + extra : labels + "," + extra;
    return all.isEmpty() ? "" : "{" + all + "}";
  }
}
