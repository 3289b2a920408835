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
 * One request to one endpoint on a dedicated connection. This way a failed connect proves that the
 * request has not run, and no byte of another response can be taken for its own. Used on the event
 * loop only.
 */
public final class UpstreamRequest {
  /** Connect timeout, in ms: about ten times a round trip between failure domains. */
  private static final int CONNECT_TIMEOUT_MS = 250;

  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** Receives the events of the request. All calls are made on the event loop. */
  public interface Listener {
    /** The connect failed: the request has not been sent and will not be. */
    void onNotSent();

    /** The request is being sent, and may run from now on. */
    void onSent();

    /**
     * The head of the response has arrived.
     *
     * @param head the head
     */
    void onHead(HttpResponse head);

    /**
     * A part of the response body has arrived.
     *
     * @param data the bytes; released by the caller after the call
     */
    void onData(ByteBuf data);

    /** The response is complete. */
    void onComplete();

    /**
     * The connection or the decoding failed before the response was complete.
     *
     * @param reason description for the log
     */
    void onFailed(String reason);
  }

  private final Listener listener;
  private Channel channel;
  private boolean finished;

  private UpstreamRequest(Listener listener) {
    this.listener = listener;
  }

  /**
   * Sends a request.
   *
   * @param loop event loop
   * @param host IP address of the endpoint
   * @param port port of the endpoint
   * @param request the request; released by the call
   * @param listener receives the events
   * @return the request, to cancel it or to pause reading
   */
  public static UpstreamRequest send(
      EventLoop loop, String host, int port, FullHttpRequest request, Listener listener) {
    UpstreamRequest upstream = new UpstreamRequest(listener);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(upstream.pipelineInitializer())
            .connect(host, port);
    upstream.channel = connecting.channel();
    connecting.addListener(f -> upstream.onConnectCompleted(f.isSuccess(), request));
    return upstream;
  }

  private ChannelInitializer<Channel> pipelineInitializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel ch) {
        ch.pipeline()
            .addLast(
                new HttpClientCodec(
                    MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, true))
            .addLast(new ResponseHandler());
      }
    };
  }

  private void onConnectCompleted(boolean success, FullHttpRequest request) {
    if (finished) {
      request.release();
      channel.close();
      return;
    }
    if (!success) {
      request.release();
      finished = true;
      listener.onNotSent();
      return;
    }
    listener.onSent();
    channel.writeAndFlush(request);
  }

  /** Cancels the request; the listener is not called any more. */
  public void cancel() {
    if (!finished) {
      finished = true;
      channel.close();
    }
  }

  /**
   * Pauses or resumes reading of the response, to bound the data buffered for a slow caller.
   *
   * @param enabled whether to read
   */
  public void setReading(boolean enabled) {
    channel.config().setAutoRead(enabled);
  }

  private final class ResponseHandler extends ChannelInboundHandlerAdapter {
    private boolean discarding;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (!finished) {
          handle((HttpObject) message);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void handle(HttpObject object) {
      if (object.decoderResult().isFailure()) {
        fail("malformed HTTP response");
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
          listener.onHead(response);
        }
      }
      if (object instanceof HttpContent content && !discarding && !finished) {
        if (content.content().isReadable()) {
          listener.onData(content.content());
        }
        if (object instanceof LastHttpContent && !finished) {
          finished = true;
          channel.close();
          listener.onComplete();
        }
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(String.valueOf(cause.getMessage()));
    }

    private void fail(String reason) {
      if (!finished) {
        finished = true;
        channel.close();
        listener.onFailed(reason);
      }
    }
  }
}
