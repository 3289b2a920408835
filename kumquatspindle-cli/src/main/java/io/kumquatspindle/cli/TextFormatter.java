package io.kumquatspindle.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats durations and tables for text output. */
final class TextFormatter {

  private TextFormatter() {}

  /** Formats a duration, for example {@code 2.5 s}, {@code 5 min 12 s} or {@code 1 h 05 min}. */
  static String formatDuration(long ms) {
    if (ms < 60_000) {
      return String.format(Locale.ROOT, "%.1f s", ms / 1000.0);
    }
    long s = ms / 1000;
    return s < 3600
        ? String.format(Locale.ROOT, "%d min %02d s", s / 60, s % 60)
        : String.format(Locale.ROOT, "%d h %02d min", s / 3600, s / 60 % 60);
  }

  /** Formats rows as lines with aligned columns, indented by two spaces. */
  static String formatTable(List<List<String>> rows) {
    List<Integer> widths = new ArrayList<>();
    for (List<String> row : rows) {
      for (int i = 0; i < row.size(); i++) {
        int width = row.get(i).length();
        if (i == widths.size()) {
          widths.add(width);
        }
        widths.set(i, Math.max(widths.get(i), width));
      }
    }
    StringBuilder s = new StringBuilder();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.size(); i++) {
        line.append("  ")
            .append(row.get(i))
            .append(" ".repeat(widths.get(i) - row.get(i).length()));
      }
      s.append(line.toString().stripTrailing()).append('\n');
    }
    return s.toString();
  }
}
