package io.kumquatspindle.node.front;

import io.kumquatspindle.node.NodeContext;
import io.kumquatspindle.node.relay.BoundedHeadersFactory;
import io.kumquatspindle.transport.callers.ConnectionClosings;
import io.kumquatspindle.transport.callers.InboundConnections;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;

/** HTTP server for a single small page, such as the readiness check or the metrics. */
public final class PageServer {
  private static final int MAX_LINE_BYTES = 1_024;
  private static final int MAX_HEAD_BYTES = 4_096;
  private static final int MAX_CHUNK_BYTES = 4_096;

  /** Maximum number of connections; the platform and operators use a few. */
  private static final int MAX_CONNECTIONS = 32;

  private PageServer() {}

  /**
   * Content of the page.
   *
   * @param status HTTP status
   * @param text body
   */
  public record Page(int status, String text) {}

  /**
   * Starts to serve the page on a port.
   *
   * @param node shared context
   * @param port the port
   * @param page creates the page; called on the event loop
   * @throws InterruptedException if the thread is interrupted
   */
  public static void start(NodeContext node, int port, Supplier<Page> page)
      throws InterruptedException {
    InboundConnections connections =
        new InboundConnections(
            new ConnectionClosings(
                node.log()::connectionsClosed, node.metrics(), node.clock(), "page"),
            node.clock(),
            MAX_CONNECTIONS);
    new ServerBootstrap()
        .group(node.loop())
        .channel(NioServerSocketChannel.class)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel ch) {
                Optional<InboundConnections.Guard> guard = connections.admit(ch);
                if (guard.isEmpty()) {
                  ch.close();
                  return;
                }
                ch.pipeline()
                    .addLast(guard.get())
                    .addLast(new HttpServerCodec(decoderConfig()))
                    .addLast(new Handler(page, guard.get()));
              }
            })
        .bind(node.settings().ip(), port)
        .sync();
  }

  private static HttpDecoderConfig decoderConfig() {
    HttpHeadersFactory headers = new BoundedHeadersFactory();
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEAD_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES)
        .setHeadersFactory(headers)
        .setTrailersFactory(headers);
  }

  /** Answers each request when its head has arrived; ignores bodies. */
  private static final class Handler extends SimpleChannelInboundHandler<HttpObject> {
    private final Supplier<Page> page;
    private final InboundConnections.Guard guard;

    private Handler(Supplier<Page> page, InboundConnections.Guard guard) {
      this.page = page;
      this.guard = guard;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      guard.onMessage();
      // A caller that sends requests without reading the responses is not answered any further.
      if (message.decoderResult().isFailure() || !ctx.channel().isWritable()) {
        ctx.close();
      } else if (message instanceof HttpRequest request) {
        answer(ctx, request);
      }
    }

    private void answer(ChannelHandlerContext ctx, HttpRequest request) {
      Page p = page.get();
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(p.status()),
              Unpooled.copiedBuffer(p.text(), StandardCharsets.UTF_8));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      if (keepAlive) {
        ctx.writeAndFlush(response);
      } else {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
