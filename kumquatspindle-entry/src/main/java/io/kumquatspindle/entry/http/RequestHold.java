package io.kumquatspindle.entry.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.util.Arrays;
import java.util.Optional;

/**
 * Passes on the head of a request once its body has arrived, and keeps the body for the handler of
 * the request. Jooby gets no body: it would copy it, decode forms, and answer a GET before its body
 * has arrived.
 */
final class RequestHold extends ChannelInboundHandlerAdapter {
  private static final AttributeKey<byte[]> BODY = AttributeKey.valueOf(RequestHold.class, "body");
  private static final byte[] EMPTY = {};

  private final int maxBodyBytes;
  private HttpRequest held;
  private byte[] body = EMPTY;
  private boolean rejected;

  RequestHold(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Returns the body of the request that is being passed on; empty if it exceeds the limit. */
  static Optional<byte[]> takeBody(Channel channel) {
    return Optional.ofNullable(channel.attr(BODY).getAndSet(null));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpObject object && !rejected) {
      if (object.decoderResult().isFailure()) {
        rejected = true;
        reject(context, object.decoderResult().cause());
      } else if (message instanceof HttpRequest request) {
        held = request;
        body = EMPTY;
      } else if (message instanceof HttpContent content && held != null) {
        add(context, content);
      }
    }
    ReferenceCountUtil.release(message);
  }

  private void add(ChannelHandlerContext context, HttpContent content) {
    byte[] part = ByteBufUtil.getBytes(content.content());
    if (body.length + part.length > maxBodyBytes) {
      // The response to this request is the last one of the connection.
      rejected = true;
      passOn(context, null);
    } else {
      body = body.length == 0 ? part : concat(body, part);
      if (content instanceof LastHttpContent) {
        passOn(context, body);
      }
    }
  }

  private static byte[] concat(byte[] first, byte[] second) {
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }

  private void passOn(ChannelHandlerContext context, byte[] wholeBody) {
    HttpRequest request = held;
    held = null;
    body = EMPTY;
    request.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    request.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    context.channel().attr(BODY).set(wholeBody);
    context.fireChannelRead(request);
    context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  // A response would be taken for that to an earlier request if one is being handled.
  private static void reject(ChannelHandlerContext context, Throwable cause) {
    if (!CallerChannel.of(context.channel()).idle()) {
      context.close();
      return;
    }
    HttpResponseStatus status =
        cause instanceof TooLongFrameException
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
