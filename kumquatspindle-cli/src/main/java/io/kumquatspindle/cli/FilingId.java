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
 * The filing identifier of a ticket file. It is kept in a side file together with a digest of the
 * ticket file, so that a repeated command uses the same identifier, and a changed ticket a new one.
 */
final class FilingId {
  private final Path sideFile;
  private final String digest;
  private final String id;
  private final boolean usedBefore;
  private final boolean given;

  private FilingId(Path sideFile, String digest, String id, boolean usedBefore, boolean given) {
    this.sideFile = sideFile;
    this.digest = digest;
    this.id = id;
    this.usedBefore = usedBefore;
    this.given = given;
  }

  /** Takes an identifier from the command line. An earlier command may have used it. */
  static FilingId given(String id) {
    return new FilingId(Path.of(""), "", id, true, true);
  }

  /** Reads the identifier from the side file, or makes a new one. */
  static FilingId of(String ticketFile, byte[] content, Supplier<String> ids) throws CliException {
    Path side = Path.of(ticketFile + ".filing");
    String digest = sha256(content);
    try {
      if (Files.exists(side)) {
        List<String> lines = Files.readAllLines(side, StandardCharsets.UTF_8);
        if (lines.size() == 2 && lines.get(1).equals(digest) && !lines.get(0).isBlank()) {
          return new FilingId(side, digest, lines.get(0), true, false);
        }
      }
    } catch (IOException e) {
      throw new CliException(ExitStatus.USAGE, "cannot read " + side + ": " + e.getMessage());
    }
    return new FilingId(side, digest, ids.get(), false, false);
  }

  String id() {
    return id;
  }

  /** Tells whether a ticket with this identifier may have been appended before. */
  boolean usedBefore() {
    return usedBefore;
  }

  /** Keeps the identifier; to be called before the ticket is appended. */
  void save() throws CliException {
    if (given || usedBefore) {
      return;
    }
    try {
      Files.writeString(sideFile, id + "\n" + digest + "\n");
    } catch (IOException e) {
      throw new CliException(ExitStatus.USAGE, "cannot write " + sideFile + ": " + e.getMessage());
    }
  }

  /** Forgets an identifier that certainly was not appended. */
  void discard() throws CliException {
    if (given || usedBefore) {
      return;
    }
    try {
      Files.deleteIfExists(sideFile);
    } catch (IOException e) {
      throw new CliException(ExitStatus.USAGE, "cannot remove " + sideFile + ": " + e.getMessage());
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
