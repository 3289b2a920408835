import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a script: what was sent, answered and run, with the time in ms. */
final class Recorder implements AutoCloseable {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Recorder(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  long ms() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  synchronized void line(String text) {
    out.println(ms() + " " + text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
