package io.kumquatspindle.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Supplier;

/**
 * The filing identifier of a ticket file, which makes filing idempotent. It is stored in a sidecar
 * file together with a digest of the ticket file, so that a repeated command reuses the identifier
 * and a changed ticket gets a new one.
 */
final class FilingId {
  private final Path sidecarFile;
  private final String digest;
  private final String id;
  private final boolean mayBeInLog;
  private final boolean fromOption;

  private FilingId(
      Path sidecarFile, String digest, String id, boolean mayBeInLog, boolean fromOption) {
    this.sidecarFile = sidecarFile;
    this.digest = digest;
    this.id = id;
    this.mayBeInLog = mayBeInLog;
    this.fromOption = fromOption;
  }

  /** Uses the identifier given with {@code --filing}. An earlier command may have used it. */
  static FilingId ofOption(String id) {
    return new FilingId(Path.of(""), "", id, true, true);
  }

  /**
   * Reads the identifier from the sidecar file, or generates one if the file does not exist or does
   * not match the content of the ticket file.
   */
  static FilingId ofSidecarFile(String ticketFile, byte[] content, Supplier<String> ids)
      throws CliException {
    Path sidecarFile = Path.of(ticketFile + ".filing");
    String digest = sha256(content);
    try {
      if (Files.exists(sidecarFile)) {
        List<String> lines = Files.readAllLines(sidecarFile, StandardCharsets.UTF_8);
        if (lines.size() == 2 && lines.get(1).equals(digest) && !lines.get(0).isBlank()) {
          return new FilingId(sidecarFile, digest, lines.get(0), true, false);
        }
      }
    } catch (IOException e) {
      throw new CliException(
          ExitStatus.USAGE, "cannot read " + sidecarFile + ": " + e.getMessage());
    }
    return new FilingId(sidecarFile, digest, ids.get(), false, false);
  }

  String id() {
    return id;
  }

  /** Returns whether an earlier command may have appended a ticket with this identifier. */
  boolean mayBeInLog() {
    return mayBeInLog;
  }

  /**
   * Stores the identifier. Must be called before the ticket is appended, so that the command can be
   * repeated with the same identifier if the outcome of the append is unknown.
   */
  void save() throws CliException {
    if (fromOption || mayBeInLog) {
      return;
    }
    try {
      Files.writeString(sidecarFile, id + "\n" + digest + "\n");
    } catch (IOException e) {
      throw new CliException(
          ExitStatus.USAGE, "cannot write " + sidecarFile + ": " + e.getMessage());
    }
  }

  /** Deletes a stored identifier whose ticket was certainly not appended. */
  void discard() throws CliException {
    if (fromOption || mayBeInLog) {
      return;
    }
    try {
      Files.deleteIfExists(sidecarFile);
    } catch (IOException e) {
      throw new CliException(
          ExitStatus.USAGE, "cannot remove " + sidecarFile + ": " + e.getMessage());
    }
  }

  private static String sha256(byte[] content) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }
}
