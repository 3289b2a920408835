package io.kumquatspindle.bench;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.kumquatspindle.bench.demo.DemoCommand;
import io.kumquatspindle.bench.measure.MeasureCommand;
import io.kumquatspindle.bench.slopes.SlopesCommand;
import io.kumquatspindle.bench.speed.SpeedCommand;
import java.util.concurrent.Callable;

/** Runs the demo and measurements. */
public final class BenchMain {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  private BenchMain() {}

  /**
   * Runs the program.
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
    } catch (Exception e) { // Callable declares it; any failure ends the program.
      System.err.println("kumquatspindle-bench: " + e);
      return EXIT_FAILED;
    }
  }

  private static Cli<Callable<Integer>> cli() {
    CliBuilder<Callable<Integer>> b = Cli.builder("kumquatspindle-bench");
    b.withDescription("Demo and measurements");
    b.withDefaultCommand(HelpCommand.class).withCommand(HelpCommand.class);
    b.withCommand(DemoCommand.class).withCommand(SpeedCommand.class);
    b.withCommand(MeasureCommand.class);
    b.withCommand(SlopesCommand.class);
    return b.build();
  }
}
