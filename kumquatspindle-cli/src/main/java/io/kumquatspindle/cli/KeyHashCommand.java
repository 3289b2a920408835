package io.kumquatspindle.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import io.kumquatspindle.api.model.KeyHash;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

@Command(
    name = "hash",
    description =
        "Reads a key from the first line of standard input and prints its SHA-256 hash for a"
            + " ticket. The key itself is neither printed nor stored.")
@Examples(
    examples = "kumquatspindle key hash < key.txt",
    descriptions = "Prints the hash of the key in a file")
final class KeyHashCommand extends BaseCommand {
  /** Characters that a bearer token may contain in an HTTP header. */
  private static final Pattern BEARER_TOKEN = Pattern.compile("[A-Za-z0-9._~+/=-]+");

  /**
   * The JSON output of the command.
   *
   * @param hash the key's hash
   */
  record HashResult(KeyHash hash) {}

  @Override
  public ExitStatus execute(Environment environment) throws CliException {
    String key = readLine(environment);
    if (key == null || !BEARER_TOKEN.matcher(key).matches()) {
      throw new CliException(
          ExitStatus.USAGE,
          "the first line of standard input must be a key of letters, digits and . _ ~ + / = -");
    }
    KeyHash hash = KeyHash.ofKey(key);
    print(environment, hash + "\n", new HashResult(hash));
    return ExitStatus.DONE;
  }

  private static String readLine(Environment environment) throws CliException {
    try {
      return new BufferedReader(new InputStreamReader(environment.in(), StandardCharsets.UTF_8))
          .readLine();
    } catch (IOException e) {
      throw new CliException(ExitStatus.USAGE, "cannot read standard input: " + e.getMessage());
    }
  }
}
