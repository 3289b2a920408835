package io.kumquatspindle.transport.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kumquatspindle.api.message.EntryMessage.Freshness;
import io.kumquatspindle.api.message.Envelope;
import io.kumquatspindle.transport.codec.MessageCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("LinkHandler")
class LinkHandlerTests {
  private static final Envelope FIRST = new Envelope(1, 0, new Freshness(12, 40));
  private static final Envelope SECOND = new Envelope(2, 0, new Freshness(13, 41));

  private final LinkRuntime runtime = LinkRuntime.start(1, "handler-test");

  @AfterEach
  void stop() {
    runtime.close();
  }

  private EmbeddedChannel channel(LinkListener listener) {
    return new EmbeddedChannel(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            LinkHandler.install(ch, new LinkOptions(runtime, listener));
          }
        });
  }

  private static ByteBuf frames(Envelope... envelopes) {
    ByteBuf all = Unpooled.buffer();
    for (Envelope e : envelopes) {
      byte[] bytes = MessageCodec.encode(e);
      all.writeInt(bytes.length).writeBytes(bytes);
    }
    return all;
  }

  @Test
  @DisplayName("reassembles frames split at any byte")
  void joinsSplitFrames() {
    ByteBuf all = frames(FIRST, SECOND);
    for (int i = 1; i < all.readableBytes(); i++) {
      RecordingListener events = new RecordingListener();
      EmbeddedChannel ch = channel(events);
      ch.writeInbound(all.copy(0, i));
      ch.writeInbound(all.copy(i, all.readableBytes() - i));
      assertEquals(List.of(FIRST, SECOND), events.received, "split at " + i);
    }
  }

  @Test
  @DisplayName("reassembles frames that arrive byte by byte")
  void joinsSingleBytes() {
    RecordingListener events = new RecordingListener();
    EmbeddedChannel ch = channel(events);
    ByteBuf all = frames(FIRST, SECOND);
    while (all.isReadable()) {
      ch.writeInbound(all.readBytes(1));
    }
    assertEquals(List.of(FIRST, SECOND), events.received);
  }

  @Test
  @DisplayName("does not deliver a frame that follows a corrupt one in the same read")
  void dropsFramesAfterCorruptFrame() {
    RecordingListener events = new RecordingListener();
    EmbeddedChannel ch = channel(events);
    ByteBuf bytes = Unpooled.buffer().writeInt(1).writeByte('x').writeBytes(frames(FIRST));
    ch.writeInbound(bytes);
    assertTrue(events.received.isEmpty());
    assertEquals(1, events.reasons.size());
  }

  @Test
  @DisplayName("keeps the connection open when the listener throws")
  void staysOpenWhenListenerThrows() {
    RecordingListener events =
        new RecordingListener(
            (link, e) -> {
              throw new IllegalStateException("thrown by the test");
            });
    EmbeddedChannel ch = channel(events);
    ch.writeInbound(frames(FIRST, SECOND));
    assertEquals(List.of(FIRST, SECOND), events.received);
    assertTrue(ch.isOpen());
  }
}
