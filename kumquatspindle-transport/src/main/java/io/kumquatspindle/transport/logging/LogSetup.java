package io.kumquatspindle.transport.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.io.OutputStream;
import java.util.Locale;
import java.util.Objects;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/** Configures logging for the process: one output stream, as JSON lines or as text. */
public final class LogSetup {
  private static final String TEXT_PATTERN =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level [%thread] %logger{0} %msg %mdc%n";

  private Format format = Format.JSON;
  private Level level = Level.INFO;
  private OutputStream output = System.err;

  /** The format of log lines. */
  public enum Format {
    /** One JSON object per line. */
    JSON,
    /** Human-readable text. */
    TEXT
  }

  private LogSetup() {}

  /**
   * Returns the default configuration: JSON lines of level INFO and above on standard error.
   *
   * @return the configuration
   */
  public static LogSetup defaults() {
    return new LogSetup();
  }

  /**
   * Sets the format of the log lines.
   *
   * @param value the format
   * @return this configuration
   */
  public LogSetup format(Format value) {
    format = Objects.requireNonNull(value, "format");
    return this;
  }

  /**
   * Sets the minimum log level.
   *
   * @param name error, warn, info, debug or trace, case-insensitive
   * @return this configuration
   * @throws IllegalArgumentException if the name is not one of these levels
   */
  public LogSetup level(String name) {
    Level parsed = Level.toLevel(name.toUpperCase(Locale.ROOT), null);
    if (parsed == null || parsed == Level.ALL || parsed == Level.OFF) {
      throw new IllegalArgumentException(
          "log level must be error, warn, info, debug or trace but was: " + name);
    }
    level = parsed;
    return this;
  }

  /**
   * Sets the output stream.
   *
   * @param stream the stream
   * @return this configuration
   */
  public LogSetup output(OutputStream stream) {
    output = Objects.requireNonNull(stream, "stream");
    return this;
  }

  /** Applies this configuration to the process and replaces any previous one. */
  public void install() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    Encoder<ILoggingEvent> encoder = format == Format.JSON ? jsonEncoder() : textEncoder();
    encoder.setContext(context);
    encoder.start();
    OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
    appender.setContext(context);
    appender.setName("log");
    appender.setEncoder(encoder);
    appender.setOutputStream(output);
    appender.start();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(level);
    root.addAppender(appender);
  }

  private static Encoder<ILoggingEvent> jsonEncoder() {
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setTimeZone("UTC");
    return encoder;
  }

  private static Encoder<ILoggingEvent> textEncoder() {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setPattern(TEXT_PATTERN);
    return encoder;
  }
}
