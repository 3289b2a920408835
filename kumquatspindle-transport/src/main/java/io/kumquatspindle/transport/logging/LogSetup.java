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

/** Sends the log lines of the process to one stream, as JSON lines or as text. */
public final class LogSetup {
  private static final String TEXT_PATTERN =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level [%thread] %logger{0} %msg %mdc%n";

  private Format format = Format.JSON;
  private Level level = Level.INFO;
  private OutputStream output = System.err;

  /** The form of a log line. */
  public enum Format {
    /** One JSON object. */
    JSON,
    /** Text for people. */
    TEXT
  }

  private LogSetup() {}

  /**
   * Returns a set-up that writes JSON lines of level INFO and above on standard error.
   *
   * @return the set-up
   */
  public static LogSetup defaults() {
    return new LogSetup();
  }

  /**
   * Sets the form of the lines.
   *
   * @param value the form
   * @return this set-up
   */
  public LogSetup format(Format value) {
    format = Objects.requireNonNull(value, "format");
    return this;
  }

  /**
   * Sets the lowest level that is written.
   *
   * @param name error, warn, info, debug or trace, in any case
   * @return this set-up
   * @throws IllegalArgumentException if there is no such level
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
   * Sets the stream that the lines go to.
   *
   * @param stream the stream
   * @return this set-up
   */
  public LogSetup output(OutputStream stream) {
    output = Objects.requireNonNull(stream, "stream");
    return this;
  }

  /** Puts the set-up into force for the whole process, in place of any earlier one. */
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
