package io.kumquatspindle.node.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/** Checks of response heads beyond the syntax, which the codec checks. */
final class ResponseHeads {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: |$)");

  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

  private ResponseHeads() {}

  /**
   * Returns whether a head has one of the status codes that HTTP defines classes for; the codec
   * accepts any number.
   *
   * @param head a head without a decoder error
   * @return whether the status is one of an answer
   */
  static boolean hasValidStatus(HttpResponse head) {
    int code = head.status().code();
    return code >= MIN_STATUS && code <= MAX_STATUS;
  }

  /**
   * Returns whether a head holds a second status line, on a connection that has carried another
   * response before. Then it begins with part of another response and is continued by the response
   * that was awaited, whose status cannot be told from it.
   *
   * @param head a head without a decoder error
   * @return whether two heads have run into each other
   */
  static boolean isMerged(HttpResponse head) {
    if (hasStatusLine(head.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> h : head.headers()) {
      if (hasStatusLine(h.getKey()) || hasStatusLine(h.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasStatusLine(String text) {
    return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
  }
}
