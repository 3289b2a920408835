package io.kumquatspindle.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A temporary directory of one command. */
public final class WorkDirectory {
  private final Path path;

  private WorkDirectory(Path path) {
    this.path = path;
  }

  /**
   * Creates a directory.
   *
   * @param prefix start of its name
   * @return the directory
   * @throws IOException if it cannot be created
   */
  public static WorkDirectory create(String prefix) throws IOException {
    return new WorkDirectory(Files.createTempDirectory(prefix));
  }

  /**
   * Returns the path.
   *
   * @return the path
   */
  public Path path() {
    return path;
  }

  /**
   * Deletes the directory and everything in it.
   *
   * @throws IOException if something cannot be deleted
   */
  public void delete() throws IOException {
    List<Path> all;
    try (Stream<Path> paths = Files.walk(path)) {
      all = paths.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path p : all) {
      Files.delete(p);
    }
  }
}
