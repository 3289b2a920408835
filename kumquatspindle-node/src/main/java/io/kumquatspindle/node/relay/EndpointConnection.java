package io.kumquatspindle.node.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One connection to an endpoint, which carries one request at a time. It is kept for another
 * request only if the response was complete and framed, and nothing followed it. Each request has a
 * codec of its own, so that no byte can be left in a decoder and become part of the next response.
 * Used on the event loop only.
 */
final class EndpointConnection {
  private static final long MS_PER_S = 1_000;
  private static final String CODEC = "codec";
  private static final Pattern KEEP_ALIVE_TIMEOUT =
      Pattern.compile("(?i)(?:^|[ ,])timeout=([0-9]{1,6})(?:$|[ ,])");

  private final EndpointConnections connections;
  private final String address;
  private final PartThrottle throttle = new PartThrottle();
  private Channel channel;
  private UpstreamRequest current;
  private boolean reused;
  private boolean requestWritten;
  private boolean keepable;
  private OptionalLong endpointTimeoutMs = OptionalLong.empty();
  private boolean idle;
  private long idleUntilMs;
  private Future<?> idleTimer;

  EndpointConnection(EndpointConnections connections, String address) {
    this.connections = connections;
    this.address = address;
  }

  void setChannel(Channel ch) {
    channel = ch;
  }

  Channel channel() {
    return channel;
  }

  String address() {
    return address;
  }

  /** Returns whether the connection has carried another request before. */
  boolean reused() {
    return reused;
  }

  long idleUntilMs() {
    return idleUntilMs;
  }

  /** Returns the handler that sets up the channel. */
  ChannelHandler handler() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel ch) {
        ch.pipeline().addLast(throttle, new ContentMerger(), new ResponseHandler());
      }
    };
  }

  /** Pauses or resumes reading. */
  void setReading(boolean enabled) {
    throttle.setReading(channel, enabled);
  }

  void send(UpstreamRequest upstream, FullHttpRequest request) {
    current = upstream;
    requestWritten = false;
    keepable = false;
    channel.pipeline().addFirst(CODEC, ClientChannels.newCodec());
    channel.writeAndFlush(request).addListener(f -> requestWritten = f.isSuccess());
  }

  void becomeIdle(long untilMs, Future<?> timer) {
    idle = true;
    reused = true;
    idleUntilMs = untilMs;
    idleTimer = timer;
  }

  void leaveIdle() {
    idle = false;
    idleTimer.cancel(false);
  }

  /** Closes the connection; its request gets no further events. */
  void close() {
    current = null;
    keepable = false;
    channel.close();
  }

  private final class ResponseHandler extends ChannelInboundHandlerAdapter {
    private boolean interim;
    private boolean skipping;
    private boolean headReceived;
    private boolean skippedAny;
    private HttpResponse head;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (current == null) {
          // The bytes belong to no request.
          keepable = false;
          ctx.close();
        } else {
          handle((HttpObject) message);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void handle(HttpObject object) {
      if (object.decoderResult().isFailure()) {
        onMalformed();
        return;
      }
      if (object instanceof HttpResponse response) {
        boolean merged = reused && ResponseHeads.isMerged(response);
        if (merged || !ResponseHeads.hasValidStatus(response)) {
          onMalformed();
          return;
        }
        onHead(response);
      }
      if (object instanceof HttpContent content && !interim && current != null) {
        onContent(content);
      }
    }

    /** On a kept connection, the bytes may have followed an earlier response. */
    private void onMalformed() {
      fail(
          reused && !headReceived
              ? UpstreamRequest::onConnectionLost
              : u -> u.onFailed("malformed HTTP response"));
    }

    private void onHead(HttpResponse response) {
      interim =
          response.status().codeClass().equals(HttpStatusClass.INFORMATIONAL)
              && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
      if (interim) {
        return;
      }
      head = response;
      skipping = !current.onHead(response, reused);
      skippedAny |= skipping;
      headReceived |= !skipping;
    }

    private void onContent(HttpContent content) {
      if (content.content().isReadable() && !skipping) {
        current.onData(content.content());
      }
      // The codec also ends a response without framing when the channel has become inactive.
      if (content instanceof LastHttpContent
          && !skipping
          && current != null
          && channel.isActive()) {
        onComplete();
      }
    }

    private void onComplete() {
      UpstreamRequest completed = current;
      boolean framed =
          HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
      keepable = framed && !skippedAny && requestWritten && HttpUtil.isKeepAlive(head);
      endpointTimeoutMs = keepAliveTimeoutMs(head.headers().get(HttpHeaderNames.KEEP_ALIVE));
      current = null;
      headReceived = false;
      if (keepable) {
        // Passes on the bytes that follow the response, if there are any.
        channel.pipeline().remove(CODEC);
      }
      completed.onComplete();
    }

    /** Keeps or closes the connection, after all bytes that were received have been handled. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (current == null && keepable) {
        keepable = false;
        connections.keep(EndpointConnection.this, endpointTimeoutMs);
      } else if (current == null && !idle) {
        ctx.close();
      }
      ctx.fireChannelReadComplete();
    }

    /** Closes the connection that the endpoint has ended; the codec has been told before. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        ctx.close();
      }
      ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (current == null) {
        if (idle) {
          leaveIdle();
          connections.closedWhileIdle(EndpointConnection.this);
        }
      } else if (reused && !headReceived) {
        fail(UpstreamRequest::onConnectionLost);
      } else {
        fail(u -> u.onBrokenOff("connection closed"));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (current != null && reused && !headReceived) {
        // channelInactive follows, which reports the loss.
        ctx.close();
      } else {
        fail(u -> u.onBrokenOff(String.valueOf(cause.getMessage())));
      }
    }

    private void fail(Consumer<UpstreamRequest> event) {
      UpstreamRequest failed = current;
      close();
      if (failed != null) {
        event.accept(failed);
      }
    }
  }

  private static OptionalLong keepAliveTimeoutMs(String header) {
    Matcher m = KEEP_ALIVE_TIMEOUT.matcher(header == null ? "" : header);
    return m.find() ? OptionalLong.of(Long.parseLong(m.group(1)) * MS_PER_S) : OptionalLong.empty();
  }
}
