package io.kumquatspindle.bench.processes;

import java.nio.file.Path;

/** Starts a long process and waits; run and killed by {@link ManagedProcessTests}. */
final class BenchThatIsKilled {
  private BenchThatIsKilled() {}

  public static void main(String[] args) throws Exception {
    ManagedProcess p =
        ManagedProcess.builder("long", Path.of(args[0])).args("sleep", "300").start();
    System.out.println(p.pid());
    Thread.sleep(300_000);
  }
}
