package io.kumquatspindle.cli;

import io.kumquatspindle.transport.platform.HttpLogService;

/** Entry point of {@code kumquatspindle}, the command-line tool for operators. */
public final class CliMain {

  private CliMain() {}

  /**
   * Runs the command and ends the process with its exit code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    Environment environment = Environment.system(url -> HttpLogService.builder(url).build());
    System.exit(new CliProgram(environment).run(args).code());
  }
}
