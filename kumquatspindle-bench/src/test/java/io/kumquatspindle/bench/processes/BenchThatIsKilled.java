package io.kumquatspindle.bench.processes;

import java.nio.file.Path;
import java.time.Duration;

/** Starts a long process and waits; run and killed by {@link ManagedProcessTests}. */
final class BenchThatIsKilled {
  private BenchThatIsKilled() {}

  public static void main(String[] args) throws Exception {
    ManagedProcess p =
        ManagedProcess.builder("long", Path.of(args[0])).args("sleep", "300").start();
    System.out.println(p.pid());
    // Ends with its child if the test that should kill it does not.
    p.awaitExit(Duration.ofSeconds(300));
  }
}
