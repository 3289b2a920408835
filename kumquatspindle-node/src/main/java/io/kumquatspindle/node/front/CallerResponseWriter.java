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

/**
 * Writes the response to one request to the caller's connection. Writes nothing once the response
 * has ended, since the connection may then carry the response to the next request.
 */
final class CallerResponseWriter {
  private final Channel channel;
  private final boolean closeAfterResponse;
  private final Runnable onEnd;
  private boolean started;
  private boolean ended;
  private boolean chunked;

  /**
   * Creates the writer.
   *
   * @param channel the caller's connection
   * @param closeAfterResponse whether to close the connection after the response
   * @param onEnd called after the response, unless the connection is closed
   */
  CallerResponseWriter(Channel channel, boolean closeAfterResponse, Runnable onEnd) {
    this.channel = channel;
    this.closeAfterResponse = closeAfterResponse;
    this.onEnd = onEnd;
  }

  boolean started() {
    return started;
  }

  boolean isOpen() {
    return channel.isActive();
  }

  boolean isWritable() {
    return channel.isWritable();
  }

  /** Writes a complete response. */
  void writeFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
    if (started || ended) {
      body.release();
      abort();
      return;
    }
    started = true;
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    addCloseHeader(response.headers());
    finish(response);
  }

  /** Writes the head of a response whose body follows in parts. */
  void writeHead(HttpResponseStatus status, HttpHeaders headers) {
    if (started || ended) {
      abort();
      return;
    }
    started = true;
    DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    head.headers().set(headers);
    chunked = !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (chunked) {
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    addCloseHeader(head.headers());
    channel.writeAndFlush(head);
  }

  /** Writes a part of the body and releases the buffer. */
  void writeData(ByteBuf data) {
    if (ended) {
      data.release();
      return;
    }
    channel.writeAndFlush(new DefaultHttpContent(data));
  }

  /** Ends the body. */
  void writeEnd() {
    finish(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Closes the connection without ending the body, so that it cannot be taken for complete. */
  void abort() {
    if (ended) {
      return;
    }
    ended = true;
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  private void finish(Object last) {
    if (ended) {
      return;
    }
    ended = true;
    if (closeAfterResponse) {
      channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
    } else {
      channel.writeAndFlush(last);
      onEnd.run();
    }
  }

  private void addCloseHeader(HttpHeaders headers) {
    if (closeAfterResponse) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }
}
