package io.kumquatspindle.cli;

/** The operators' command {@code kumquatspindle}. */
public final class CliMain {

  private CliMain() {}

  /**
   * Runs the command and exits with its exit code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    // To be replaced by a connector for the HTTP client of the transport module.
    Environment environment = Environment.system(LogConnector.unavailable());
    System.exit(new CliProgram(environment).run(args).code());
  }
}
