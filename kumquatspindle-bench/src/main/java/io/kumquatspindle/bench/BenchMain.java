package io.kumquatspindle.bench;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.kumquatspindle.bench.demo.DemoCommand;
import io.kumquatspindle.bench.measure.MeasureCommand;
import io.kumquatspindle.bench.slopes.SlopesCommand;
import io.kumquatspindle.bench.speed.SpeedCommand;
import java.util.concurrent.Callable;

/** Entry point of the bench program, which runs the demo and the measurements. */
public final class BenchMain {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  private BenchMain() {}

  /**
   * Runs the command that the arguments name, and exits with its status.
   *
   * @param args command line arguments
   */
  public static void main(String[] args) {
    System.exit(run(args));
  }

  private static int run(String... args) {
    try {
      return cli().parse(args).call();
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      return EXIT_USAGE;
    } catch (Exception e) { // Callable declares it; every failure ends the program.
      System.err.println("kumquatspindle-bench: " + e);
      return EXIT_FAILED;
    }
  }

  private static Cli<Callable<Integer>> cli() {
    CliBuilder<Callable<Integer>> builder = Cli.builder("kumquatspindle-bench");
    builder.withDescription("Demo and measurements");
    builder.withDefaultCommand(HelpCommand.class).withCommand(HelpCommand.class);
    builder.withCommand(DemoCommand.class).withCommand(SpeedCommand.class);
    builder.withCommand(MeasureCommand.class);
    builder.withCommand(SlopesCommand.class);
    return builder.build();
  }
}
