package io.kumquatspindle.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("CallerChannel")
class CallerChannelTests {
  private final List<CallerChannel> found = new ArrayList<>();
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object data) {
              found.add(CallerChannel.current());
            }
          });

  CallerChannelTests() {
    new CurrentChannel().postInitializeServerChildChannel(channel);
  }

  @Test
  @DisplayName("is the same for all reads of a connection, and not available outside of a read")
  void isFoundOnlyDuringRead() {
    channel.writeInbound("one", "two");
    assertSame(found.get(0), found.get(1));
    assertThrows(IllegalStateException.class, CallerChannel::current);
  }

  @Test
  @DisplayName(
      "removes the listeners of a request that has ended, which would otherwise leak memory")
  void dropsListeners() {
    channel.writeInbound("request");
    List<String> notified = new ArrayList<>();
    found.get(0).onClosed(() -> notified.add("ended"));
    found.get(0).requestEnded(() -> {});
    found.get(0).onClosed(() -> notified.add("running"));
    channel.close();
    found.get(0).onClosed(() -> notified.add("late"));
    assertEquals(List.of("running", "late"), notified);
  }
}
