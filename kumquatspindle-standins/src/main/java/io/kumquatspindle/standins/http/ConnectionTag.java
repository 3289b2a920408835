package io.kumquatspindle.standins.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;

/** Marks each request of a connection with the connection's number, in an internal header. */
final class ConnectionTag extends ChannelInboundHandlerAdapter {
  /** Header that carries the connection's number; replaced if a client sends it. */
  static final String HEADER = "x-stand-in-connection";

  /** Header that carries the content type past Jooby. */
  static final String CONTENT_TYPE = "x-stand-in-content-type";

  private final String number;

  ConnectionTag(String number) {
    this.number = number;
  }

  @Override
  public void channelRegistered(ChannelHandlerContext ctx) throws Exception {
    // Jooby's handlers have been added by now; the marker must see decoded requests.
    String codec = ctx.pipeline().context(HttpServerCodec.class).name();
    ctx.pipeline().addAfter(codec, "tag", new Marker());
    super.channelRegistered(ctx);
  }

  private final class Marker extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
      if (msg instanceof HttpRequest) {
        HttpHeaders headers = ((HttpRequest) msg).headers();
        headers.set(HEADER, number);
        // Jooby would decode forms and lose the raw body; the stand-ins need every body raw.
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
          headers.remove(HttpHeaderNames.CONTENT_TYPE).set(CONTENT_TYPE, type);
        }
      }
      super.channelRead(ctx, msg);
    }
  }
}
