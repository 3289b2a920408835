package io.kumquatspindle.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Temporary directory that a command keeps its settings and output files in. */
public final class WorkDirectory {
  private final Path path;

  private WorkDirectory(Path path) {
    this.path = path;
  }

  /**
   * Creates a new temporary directory.
   *
   * @param prefix prefix of the directory name
   * @return the directory
   * @throws IOException if the directory cannot be created
   */
  public static WorkDirectory create(String prefix) throws IOException {
    return new WorkDirectory(Files.createTempDirectory(prefix));
  }

  public Path path() {
    return path;
  }

  /**
   * Deletes the directory and its contents recursively.
   *
   * @throws IOException if a file or directory cannot be deleted
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
