package io.kumquatspindle.node.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes the answer to one request on a caller's connection. */
final class CallerChannel {
  private final Channel channel;
  private final boolean close;
  private final Runnable ended;
  private boolean started;
  private boolean over;
  private boolean chunked;

  /**
   * Creates the writer.
   *
   * @param channel the caller's connection
   * @param close whether the connection is closed after the answer
   * @param ended called after the answer, unless the connection is closed
   */
  CallerChannel(Channel channel, boolean close, Runnable ended) {
    this.channel = channel;
    this.close = close;
    this.ended = ended;
  }

  boolean started() {
    return started;
  }

  boolean writable() {
    return channel.isWritable();
  }

  /** Writes a whole answer. */
  void whole(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    started = true;
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    answer.headers().set(headers);
    answer.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    closeHeader(answer.headers());
    finish(answer);
  }

  /** Writes the head of an answer whose body follows in parts. */
  void head(HttpResponseStatus status, HttpHeaders headers) {
    started = true;
    DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    head.headers().set(headers);
    chunked = !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (chunked) {
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    closeHeader(head.headers());
    channel.writeAndFlush(head);
  }

  /** Writes a part of the body. */
  void data(ByteBuf data) {
    channel.writeAndFlush(new DefaultHttpContent(data));
  }

  /** Ends the body. */
  void end() {
    finish(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Breaks the connection off, so that an incomplete answer cannot look complete. */
  void breakOff() {
    over = true;
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  private void finish(Object last) {
    if (over) {
      return;
    }
    over = true;
    if (close) {
      channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
    } else {
      channel.writeAndFlush(last);
      ended.run();
    }
  }

  private void closeHeader(HttpHeaders headers) {
    if (close) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }
}
