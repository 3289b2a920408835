package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;

/** Tells whether a started program is ready. */
@FunctionalInterface
public interface Readiness {

  /**
   * Checks once.
   *
   * @param process the program
   * @return whether it is ready
   * @throws IOException if its output cannot be read
   */
  boolean check(ManagedProcess process) throws IOException;

  /**
   * Returns the check of programs that need no wait.
   *
   * @return a check that is always true
   */
  static Readiness atOnce() {
    return p -> true;
  }

  /**
   * Returns a check for a line of standard output.
   *
   * @param text text that the line contains
   * @return the check
   */
  static Readiness line(String text) {
    return p -> Files.readString(p.output()).contains(text);
  }

  /**
   * Returns a check of a health page.
   *
   * @param page the page, which answers 200 when the program is ready
   * @return the check
   */
  static Readiness page(URI page) {
    return p -> {
      try {
        HttpURLConnection c = (HttpURLConnection) page.toURL().openConnection();
        c.setConnectTimeout(500);
        c.setReadTimeout(500);
        return c.getResponseCode() == HttpURLConnection.HTTP_OK;
      } catch (IOException e) {
        return false; // Not listening yet.
      }
    };
  }
}
