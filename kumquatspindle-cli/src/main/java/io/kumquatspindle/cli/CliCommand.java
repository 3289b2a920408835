package io.kumquatspindle.cli;

/** A command; its fields hold the parsed options. */
interface CliCommand {

  /** Runs the command. */
  ExitStatus execute(Environment environment) throws CliException;
}
