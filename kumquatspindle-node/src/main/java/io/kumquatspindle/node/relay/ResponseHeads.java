package io.kumquatspindle.node.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/** Checks of response heads on connections that have carried other responses before. */
final class ResponseHeads {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: |$)");

  private ResponseHeads() {}

  /**
   * Returns whether a head holds a second status line. Then it begins with part of another response
   * and is continued by the response that was awaited, whose status cannot be told from it.
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
