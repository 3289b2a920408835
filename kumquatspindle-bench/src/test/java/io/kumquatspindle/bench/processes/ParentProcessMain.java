package io.kumquatspindle.bench.processes;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Starts a long-running child process, prints its process id and waits. {@link ManagedProcessTests}
 * runs and kills it.
 */
final class ParentProcessMain {
  private ParentProcessMain() {}

  public static void main(String[] args) throws Exception {
    ManagedProcess p =
        ManagedProcess.builder("long", Path.of(args[0])).args("sleep", "300").start();
    System.out.println(p.pid());
    // Bounds the lifetime of this process if the test fails to kill it.
    p.awaitExit(Duration.ofSeconds(300));
  }
}
