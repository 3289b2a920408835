package io.kumquatspindle.bench.processes;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** Maven build tree whose packaged programs are started. */
public final class BuildTree {
  private final Path root;

  private BuildTree(Path root) {
    this.root = root;
  }

  /**
   * Returns the build tree with the given root directory.
   *
   * @param root the directory that contains the modules
   * @return the build tree
   */
  public static BuildTree of(Path root) {
    return new BuildTree(root.toAbsolutePath().normalize());
  }

  /**
   * Returns the build tree that contains the running code.
   *
   * @return the build tree
   */
  public static BuildTree current() {
    try {
      Path codeSource =
          Path.of(BuildTree.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      for (Path p = codeSource; p != null; p = p.getParent()) {
        if (Files.isDirectory(p.resolve("kumquatspindle-bench"))) {
          return of(p);
        }
      }
      throw new IllegalStateException("not in a build tree: " + codeSource);
    } catch (URISyntaxException e) {
      throw new IllegalStateException("code source has no path", e);
    }
  }

  /**
   * Returns the executable jar of a program, which includes its dependencies.
   *
   * @param program the module name, for example {@code kumquatspindle-entry}
   * @return the path of the jar
   * @throws IOException if the jar has not been built
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
   * Returns a launcher script from the {@code bin} directory.
   *
   * @param name the file name of the script
   * @return the path of the script
   */
  public Path launcher(String name) {
    return root.resolve("bin").resolve(name);
  }
}
