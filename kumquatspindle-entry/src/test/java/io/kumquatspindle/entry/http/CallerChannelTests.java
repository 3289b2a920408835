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
  @DisplayName("is the same for all reads of a connection, and unknown outside of a read")
  void foundWithinRead() {
    channel.writeInbound("one", "two");
    assertSame(found.get(0), found.get(1));
    assertThrows(IllegalStateException.class, CallerChannel::current);
  }

  @Test
  @DisplayName("drops the listeners of a request that has ended, which else pile up as a leak")
  void dropsListeners() {
    channel.writeInbound("request");
    List<String> told = new ArrayList<>();
    found.get(0).onClosed(() -> told.add("ended"));
    found.get(0).requestEnded(() -> {});
    found.get(0).onClosed(() -> told.add("running"));
    channel.close();
    found.get(0).onClosed(() -> told.add("late"));
    assertEquals(List.of("running", "late"), told);
  }
}
