package io.kumquatspindle.bench.demo;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.kumquatspindle.bench.WorkDirectory;
import io.kumquatspindle.bench.processes.BuildTree;
import java.io.IOException;
import java.util.concurrent.Callable;

/** Command that runs the demo. */
@Command(
    name = "demo",
    description = "Starts a small site, files tickets, sends requests, stops everything")
public final class DemoCommand implements Callable<Integer> {

  @Option(name = "--keep", description = "Keeps the directory with the settings and output files")
  private boolean keep;

  /** Instantiated by Airline. */
  public DemoCommand() {}

  @Override
  public Integer call() throws IOException {
    WorkDirectory directory = WorkDirectory.create("kumquatspindle-demo-");
    boolean success = new Demo(BuildTree.current(), directory.path(), System.out).run();
    if (keep || !success) {
      System.out.println("settings and output files: " + directory.path());
    } else {
      directory.delete();
    }
    return success ? 0 : 1;
  }
}
