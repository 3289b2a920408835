package io.kumquatspindle.node.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The merger of content")
class ContentMergerTests {
  private final EmbeddedChannel channel = new EmbeddedChannel(new ContentMerger());

  private static HttpContent content(String text) {
    return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private String nextText() {
    HttpContent next = channel.readInbound();
    String text = next.content().toString(StandardCharsets.UTF_8);
    next.release();
    return text;
  }

  @Test
  @DisplayName("passes on the parts of one read as one, in order")
  void mergesPartsOfOneRead() {
    HttpContent[] parts = {content("a"), content("b"), content("c")};
    channel.writeInbound((Object[]) parts);

    assertEquals("abc", nextText());
    assertNull(channel.readInbound());
    for (HttpContent part : parts) {
      assertEquals(0, part.refCnt());
    }
  }

  @Test
  @DisplayName("passes on a single part as it is, and the end after all parts")
  void keepsOrder() {
    HttpContent single = content("a");
    channel.writeInbound(single);
    assertSame(single, channel.readInbound());
    single.release();

    channel.writeInbound(content("b"), content("c"), LastHttpContent.EMPTY_LAST_CONTENT);
    assertEquals("bc", nextText());
    assertSame(LastHttpContent.EMPTY_LAST_CONTENT, channel.readInbound());
  }

  @Test
  @DisplayName("passes on what it holds when the connection ends")
  void passesOnAtEnd() {
    channel.writeOneInbound(content("a"));
    channel.writeOneInbound(content("b"));
    channel.close();

    assertEquals("ab", nextText());
  }
}
