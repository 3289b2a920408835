package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;

/** Check whether a started process is ready. */
@FunctionalInterface
public interface Readiness {

  /**
   * Performs the check once.
   *
   * @param process the process
   * @return {@code true} if the process is ready
   * @throws IOException if the output of the process cannot be read
   */
  boolean check(ManagedProcess process) throws IOException;

  /**
   * Returns a check for processes that are ready as soon as they have started.
   *
   * @return a check that always succeeds
   */
  static Readiness immediate() {
    return p -> true;
  }

  /**
   * Returns a check that succeeds once standard output contains a text.
   *
   * @param text the text to search for
   * @return the check
   */
  static Readiness outputContains(String text) {
    return p -> Files.readString(p.output()).contains(text);
  }

  /**
   * Returns a check that succeeds once an HTTP health page returns status 200.
   *
   * @param page the URL of the health page
   * @return the check
   */
  static Readiness healthPage(URI page) {
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
