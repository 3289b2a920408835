package io.kumquatspindle.cli;

/** A command whose fields Airline sets from the parsed command line. */
interface CliCommand {

  /** Runs the command and returns the exit status of the process. */
  ExitStatus execute(Environment environment) throws CliException;
}
