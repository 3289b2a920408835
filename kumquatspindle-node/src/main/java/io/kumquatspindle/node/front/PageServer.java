package io.kumquatspindle.node.front;

import io.kumquatspindle.node.NodeContext;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** HTTP server for a single small page, such as the readiness check or the metrics. */
public final class PageServer {
  private static final int MAX_REQUEST_BYTES = 4_096;

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
    new ServerBootstrap()
        .group(node.loop())
        .channel(NioServerSocketChannel.class)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel ch) {
                ch.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                    .addLast(new Handler(page));
              }
            })
        .bind(node.settings().ip(), port)
        .sync();
  }

  private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Supplier<Page> page;

    private Handler(Supplier<Page> page) {
      this.page = page;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
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
