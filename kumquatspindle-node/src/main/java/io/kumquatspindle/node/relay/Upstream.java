package io.kumquatspindle.node.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One request to one endpoint on a connection of its own, so that "cannot connect" proves that it
 * has not run and no byte of another answer can reach it. Used on the event loop only.
 */
public final class Upstream {
  /** Time to connect, in ms: some ten times a round trip between failure domains. */
  private static final int CONNECT_MS = 250;

  private static final int MOST_LINE_BYTES = 8_192;
  private static final int MOST_HEAD_BYTES = 65_536;
  private static final int CHUNK_BYTES = 16_384;

  /** What happens to the request. All calls are made on the event loop. */
  public interface Listener {
    /** The request has not been sent and never will be. */
    void notSent();

    /** The request is being sent; from now on it may run. */
    void sent();

    /**
     * The head of an answer has arrived.
     *
     * @param head the head
     */
    void head(HttpResponse head);

    /**
     * A part of the answer's body has arrived.
     *
     * @param data the bytes; released by the caller after the call
     */
    void data(ByteBuf data);

    /** The answer is complete. */
    void complete();

    /**
     * The connection or the answer failed before the answer was complete.
     *
     * @param reason for the log
     */
    void broken(String reason);
  }

  private final Listener listener;
  private Channel channel;
  private boolean over;

  private Upstream(Listener listener) {
    this.listener = listener;
  }

  /**
   * Sends a request.
   *
   * @param loop event loop
   * @param host IP address of the endpoint
   * @param port port of the endpoint
   * @param request the request; released by the call
   * @param listener told what happens
   * @return handle to the request
   */
  public static Upstream send(
      EventLoop loop, String host, int port, FullHttpRequest request, Listener listener) {
    Upstream u = new Upstream(listener);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(u.setup())
            .connect(host, port);
    u.channel = connecting.channel();
    connecting.addListener(f -> u.connected(f.isSuccess(), request));
    return u;
  }

  private ChannelInitializer<Channel> setup() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel ch) {
        ch.pipeline()
            .addLast(new HttpClientCodec(MOST_LINE_BYTES, MOST_HEAD_BYTES, CHUNK_BYTES, true))
            .addLast(new Answer());
      }
    };
  }

  private void connected(boolean success, FullHttpRequest request) {
    if (over) {
      request.release();
      channel.close();
      return;
    }
    if (!success) {
      request.release();
      over = true;
      listener.notSent();
      return;
    }
    listener.sent();
    channel.writeAndFlush(request);
  }

  /** Ends the request; the listener hears nothing more. */
  public void cancel() {
    if (!over) {
      over = true;
      channel.close();
    }
  }

  /**
   * Pauses or resumes reading, so that a slow caller does not fill the memory.
   *
   * @param read whether to read
   */
  public void reading(boolean read) {
    channel.config().setAutoRead(read);
  }

  private final class Answer extends ChannelInboundHandlerAdapter {
    private boolean discarding;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (!over) {
          take((HttpObject) message);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void take(HttpObject object) {
      if (object.decoderResult().isFailure()) {
        broken("not an HTTP answer");
        return;
      }
      if (object instanceof HttpResponse response) {
        discarding =
            response
                    .status()
                    .codeClass()
                    .equals(io.netty.handler.codec.http.HttpStatusClass.INFORMATIONAL)
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        if (!discarding) {
          listener.head(response);
        }
      }
      if (object instanceof HttpContent content && !discarding && !over) {
        if (content.content().isReadable()) {
          listener.data(content.content());
        }
        if (object instanceof LastHttpContent && !over) {
          over = true;
          channel.close();
          listener.complete();
        }
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      broken("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      broken(String.valueOf(cause.getMessage()));
    }

    private void broken(String reason) {
      if (!over) {
        over = true;
        channel.close();
        listener.broken(reason);
      }
    }
  }
}
