package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** The build tree that the programs are started from. */
public final class BuildTree {
  private final Path root;

  private BuildTree(Path root) {
    this.root = root;
  }

  /**
   * Returns the tree with the given root.
   *
   * @param root the directory with the modules
   * @return the tree
   */
  public static BuildTree of(Path root) {
    return new BuildTree(root.toAbsolutePath().normalize());
  }

  /**
   * Returns the tree that this program was built in.
   *
   * @return the tree
   */
  public static BuildTree own() {
    try {
      Path own =
          Path.of(BuildTree.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      for (Path p = own; p != null; p = p.getParent()) {
        if (Files.isDirectory(p.resolve("kumquatspindle-bench"))) {
          return of(p);
        }
      }
      throw new IllegalStateException("not in a build tree: " + own);
    } catch (URISyntaxException e) {
      throw new IllegalStateException("code source has no path", e);
    }
  }

  /**
   * Returns the jar of a program with all its dependencies.
   *
   * @param program module name, for example {@code kumquatspindle-entry}
   * @return the jar
   * @throws IOException if it has not been built
   */
  public Path jar(String program) throws IOException {
    Path target = root.resolve(program).resolve("target");
    if (Files.isDirectory(target)) {
      try (DirectoryStream<Path> jars = Files.newDirectoryStream(target, program + "-*-all.jar")) {
        for (Path jar : jars) {
          return jar;
        }
      }
    }
    throw new IOException(program + " is not built; run: mvn -q package -DskipTests");
  }

  /**
   * Returns a launcher of the {@code bin} directory.
   *
   * @param name the launcher's name
   * @return the script
   */
  public Path launcher(String name) {
    return root.resolve("bin").resolve(name);
  }
}
