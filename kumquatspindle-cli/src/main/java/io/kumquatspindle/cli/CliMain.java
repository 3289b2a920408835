package io.kumquatspindle.cli;

import io.kumquatspindle.transport.platform.HttpLogService;

/** The operators' command {@code kumquatspindle}. */
public final class CliMain {

  private CliMain() {}

  /**
   * Runs the command and exits with its exit code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    Environment environment = Environment.system(url -> HttpLogService.builder(url).build());
    System.exit(new CliProgram(environment).run(args).code());
  }
}
