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

/** Child process of the bench, which is killed at the latest when the bench ends. */
public final class ManagedProcess implements AutoCloseable {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
  private static final Duration KILL_TIMEOUT = Duration.ofSeconds(10);

  private final String name;
  private final Process process;
  private final Path output;
  private final Path errorOutput;
  private final Readiness readiness;

  private ManagedProcess(Builder b, Process process) {
    this.name = b.name;
    this.process = process;
    this.output = b.output();
    this.errorOutput = b.errorOutput();
    this.readiness = b.readiness;
  }

  /**
   * Returns a builder for a process.
   *
   * @param name the process name, used in messages and for its output files
   * @param directory the directory that the output files are written to
   * @return a new builder
   */
  public static Builder builder(String name, Path directory) {
    return new Builder(name, directory);
  }

  public String name() {
    return name;
  }

  public long pid() {
    return process.pid();
  }

  /**
   * Returns the file that standard output is written to.
   *
   * @return the path of the file
   */
  public Path output() {
    return output;
  }

  /**
   * Returns the file that standard error is written to.
   *
   * @return the path of the file
   */
  public Path errorOutput() {
    return errorOutput;
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Waits until the process is ready.
   *
   * @param timeout the maximum time to wait
   * @throws IOException if the process ends or is not ready in time
   */
  public void awaitReady(Duration timeout) throws IOException {
    long end = System.nanoTime() + timeout.toNanos();
    while (!readiness.check(this)) {
      if (!process.isAlive()) {
        throw new IOException(
            name + " ended with " + process.exitValue() + ": " + Files.readString(errorOutput));
      }
      if (System.nanoTime() - end > 0) {
        throw new IOException(name + " is not ready after " + timeout.toMillis() + " ms");
      }
      Pause.sleep(POLL_INTERVAL);
    }
  }

  /**
   * Waits until the process ends.
   *
   * @param timeout the maximum time to wait
   * @return the exit status, or empty if the process is still running
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
    sendSignal("STOP");
  }

  /**
   * Sends SIGCONT.
   *
   * @throws IOException if the signal cannot be sent
   */
  public void resume() throws IOException {
    sendSignal("CONT");
  }

  /** Kills the process if it is still running, and waits until it has ended. */
  @Override
  public void close() {
    kill();
    awaitExit(KILL_TIMEOUT);
  }

  private void sendSignal(String signal) throws IOException {
    // java.lang.Process can send only SIGTERM and SIGKILL, so use the kill command of the shell.
    Process p = new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start();
    try {
      if (p.waitFor() != 0) {
        throw new IOException("cannot send SIG" + signal + " to " + name);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while sending SIG" + signal, e);
    }
  }

  /** Builder for processes. */
  public static final class Builder {
    private final String name;
    private final Path directory;
    private final List<String> command = new ArrayList<>();
    private Readiness readiness = Readiness.immediate();

    private Builder(String name, Path directory) {
      this.name = name;
      this.directory = directory;
    }

    /**
     * Runs a jar with the same Java installation as the bench.
     *
     * @param jar the executable jar
     * @param heapMb the maximum heap size, in MB
     * @param options additional JVM options
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
     * Appends arguments to the command line.
     *
     * @param words the arguments
     * @return this builder
     */
    public Builder args(String... words) {
      command.addAll(List.of(words));
      return this;
    }

    /**
     * Sets the readiness check. Without one, the process is considered ready immediately.
     *
     * @param check the check
     * @return this builder
     */
    public Builder readiness(Readiness check) {
      this.readiness = check;
      return this;
    }

    /**
     * Starts the process without waiting until it is ready.
     *
     * @return the process
     * @throws IOException if the process cannot be started
     */
    public ManagedProcess start() throws IOException {
      Files.createDirectories(directory);
      ProcessBuilder pb = new ProcessBuilder(command);
      pb.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
      pb.redirectOutput(ProcessBuilder.Redirect.appendTo(output().toFile()));
      pb.redirectError(ProcessBuilder.Redirect.appendTo(errorOutput().toFile()));
      Process p = pb.start();
      Watchdog.watch(p);
      return new ManagedProcess(this, p);
    }

    private Path output() {
      return directory.resolve(name + ".out");
    }

    private Path errorOutput() {
      return directory.resolve(name + ".err");
    }
  }
}
