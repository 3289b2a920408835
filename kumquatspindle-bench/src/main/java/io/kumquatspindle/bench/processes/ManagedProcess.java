package io.kumquatspindle.bench.processes;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/** A program that the bench has started, and that never outlives the bench. */
public final class ManagedProcess implements AutoCloseable {
  private static final Duration POLL = Duration.ofMillis(20);
  private static final Duration KILL_TIMEOUT = Duration.ofSeconds(10);

  private final String name;
  private final Process process;
  private final Path output;
  private final Path errors;
  private final Readiness readiness;

  private ManagedProcess(Builder b, Process process) {
    this.name = b.name;
    this.process = process;
    this.output = b.output();
    this.errors = b.errors();
    this.readiness = b.readiness;
  }

  /**
   * Starts to describe a program.
   *
   * @param name names the process in messages and its output files
   * @param directory where its output files are written
   * @return a builder
   */
  public static Builder builder(String name, Path directory) {
    return new Builder(name, directory);
  }

  /**
   * Returns the name.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the process id.
   *
   * @return the id
   */
  public long pid() {
    return process.pid();
  }

  /**
   * Returns the file with the standard output.
   *
   * @return the file
   */
  public Path output() {
    return output;
  }

  /**
   * Returns the file with the standard error output.
   *
   * @return the file
   */
  public Path errors() {
    return errors;
  }

  /**
   * Tells whether the process runs.
   *
   * @return whether it has not ended
   */
  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Waits until the program is ready.
   *
   * @param timeout longest wait
   * @throws IOException if the program ends or is not ready in time
   */
  public void awaitReady(Duration timeout) throws IOException {
    long end = System.nanoTime() + timeout.toNanos();
    while (!readiness.check(this)) {
      if (!process.isAlive()) {
        throw new IOException(
            name + " ended with " + process.exitValue() + ": " + Files.readString(errors));
      }
      if (System.nanoTime() - end > 0) {
        throw new IOException(name + " is not ready after " + timeout.toMillis() + " ms");
      }
      Pause.of(POLL);
    }
  }

  /**
   * Waits for the end of the process.
   *
   * @param timeout longest wait
   * @return the exit status, or empty if it still runs
   */
  public OptionalInt awaitExit(Duration timeout) {
    try {
      return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)
          ? OptionalInt.of(process.exitValue())
          : OptionalInt.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return OptionalInt.empty();
    }
  }

  /** Sends SIGTERM. */
  public void terminate() {
    process.destroy();
  }

  /** Sends SIGKILL. */
  public void kill() {
    process.destroyForcibly();
  }

  /**
   * Sends SIGSTOP.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void pause() throws IOException {
    signal("STOP");
  }

  /**
   * Sends SIGCONT.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void resume() throws IOException {
    signal("CONT");
  }

  /** Kills the process if it still runs, and waits for its end. */
  @Override
  public void close() {
    kill();
    awaitExit(KILL_TIMEOUT);
  }

  private void signal(String signal) throws IOException {
    // A shell has kill built in; the Java library sends only SIGTERM and SIGKILL.
    Process p = new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start();
    try {
      if (p.waitFor() != 0) {
        throw new IOException("cannot send " + signal + " to " + name);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while sending " + signal, e);
    }
  }

  /** Describes a program to start. */
  public static final class Builder {
    private final String name;
    private final Path directory;
    private final List<String> command = new ArrayList<>();
    private Readiness readiness = Readiness.atOnce();

    private Builder(String name, Path directory) {
      this.name = name;
      this.directory = directory;
    }

    /**
     * Runs a jar with the Java that runs the bench.
     *
     * @param jar the jar
     * @param heapMb largest heap, in MB
     * @param options further options of the Java virtual machine
     * @return this builder
     */
    public Builder jar(Path jar, int heapMb, String... options) {
      command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
      command.add("-Xmx" + heapMb + "m");
      command.addAll(List.of(options));
      command.add("-jar");
      command.add(jar.toString());
      return this;
    }

    /**
     * Adds words to the command line.
     *
     * @param words the words
     * @return this builder
     */
    public Builder args(String... words) {
      command.addAll(List.of(words));
      return this;
    }

    /**
     * Sets how readiness is checked; without it the program counts as ready at once.
     *
     * @param check the check
     * @return this builder
     */
    public Builder readiness(Readiness check) {
      this.readiness = check;
      return this;
    }

    /**
     * Starts the program without waiting for readiness.
     *
     * @return the process
     * @throws IOException if it cannot be started
     */
    public ManagedProcess start() throws IOException {
      Files.createDirectories(directory);
      ProcessBuilder pb = new ProcessBuilder(command);
      pb.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
      pb.redirectOutput(ProcessBuilder.Redirect.appendTo(output().toFile()));
      pb.redirectError(ProcessBuilder.Redirect.appendTo(errors().toFile()));
      Process p = pb.start();
      Watchdog.watch(p);
      return new ManagedProcess(this, p);
    }

    private Path output() {
      return directory.resolve(name + ".out");
    }

    private Path errors() {
      return directory.resolve(name + ".err");
    }
  }
}
