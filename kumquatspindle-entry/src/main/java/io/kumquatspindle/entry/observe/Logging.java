package io.kumquatspindle.entry.observe;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/** Sets the log up. */
public final class Logging {
  private static final String TEXT_PATTERN = "%d{HH:mm:ss.SSS} %-5level %logger{0} - %msg%n";

  private Logging() {}

  /**
   * Sends the log to standard output.
   *
   * @param format json or text
   * @param level least level that is written
   */
  public static void configure(String format, String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    Encoder<ILoggingEvent> encoder = format.equals("text") ? text(context) : new LogstashEncoder();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setEncoder(encoder);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(level));
    root.addAppender(appender);
  }

  private static Encoder<ILoggingEvent> text(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(TEXT_PATTERN);
    return encoder;
  }
}
