package io.kumquatspindle.standins.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;

/** Adds the connection's number to each request of a connection, in an internal header. */
final class ConnectionTagHandler extends ChannelInboundHandlerAdapter {
  /** Header that contains the connection's number; overwritten if a client sends it. */
  static final String HEADER = "x-stand-in-connection";

  /** Header that holds the original content type, which is hidden from Jooby. */
  static final String CONTENT_TYPE = "x-stand-in-content-type";

  private final String number;

  ConnectionTagHandler(String number) {
    this.number = number;
  }

  @Override
  public void channelRegistered(ChannelHandlerContext ctx) throws Exception {
    // Jooby has added its handlers by now; the tagger must come after the HTTP decoder.
    String codec = ctx.pipeline().context(HttpServerCodec.class).name();
    ctx.pipeline().addAfter(codec, "tag", new RequestTagger());
    super.channelRegistered(ctx);
  }

  private final class RequestTagger extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
      if (msg instanceof HttpRequest) {
        HttpHeaders headers = ((HttpRequest) msg).headers();
        headers.set(HEADER, number);
        // With a form content type, Jooby would decode the body and discard its raw bytes, which
        // the stand-ins need.
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
          headers.remove(HttpHeaderNames.CONTENT_TYPE).set(CONTENT_TYPE, type);
        }
      }
      super.channelRead(ctx, msg);
    }
  }
}
