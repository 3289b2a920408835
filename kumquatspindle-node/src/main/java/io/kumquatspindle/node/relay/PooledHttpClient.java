package io.kumquatspindle.node.relay;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP client for small calls with complete responses and a timeout. Keeps idle connections for
 * reuse. Used on the event loop only.
 */
public final class PooledHttpClient {
  /** Connect timeout, in ms; a round trip within a site takes a few ms. */
  private static final int CONNECT_TIMEOUT_MS = 400;

  /** Idle timeout of a response in transit, in ms; slow responses take 0.4 s. */
  private static final long READ_IDLE_TIMEOUT_MS = 900;

  /** Time limit of a call with a response in transit, in ms; 9.6 s for the largest at 7 Mbit/s. */
  private static final long MAX_CALL_DURATION_MS = 10_000;

  private static final String CODEC = "codec";
  private static final String AGGREGATOR = "aggregator";
  private static final String THROTTLE = "throttle";
  private static final String CALL = "call";

  private final EventLoop loop;
  private final int maxResponseBytes;
  private final Map<String, ArrayDeque<Channel>> idleConnections = new HashMap<>();

  /** Result of a call. */
  public sealed interface Result {
    /**
     * A complete response.
     *
     * @param status HTTP status
     * @param headers headers of the response
     * @param body body of the response
     */
    record Completed(int status, HttpHeaders headers, byte[] body) implements Result {}

    /**
     * No complete response; the call may have taken effect.
     *
     * @param reason description for the log
     */
    record Failed(String reason) implements Result {}
  }

  /**
   * Creates a client without connections.
   *
   * @param loop event loop of all connections
   * @param maxResponseBytes largest body of a response, in bytes; a call with a larger one fails
   */
  public PooledHttpClient(EventLoop loop, int maxResponseBytes) {
    this.loop = loop;
    this.maxResponseBytes = maxResponseBytes;
  }

  /**
   * Sends a request to a server.
   *
   * @param host IP address
   * @param port port
   * @param request the request; released by the call
   * @param keepAlive whether to take a pooled connection, and to keep it for other calls
   * @param timeoutMs time limit in ms; extended while a response is in transit
   * @param done receives the result, exactly once
   */
  public void call(
      String host,
      int port,
      FullHttpRequest request,
      boolean keepAlive,
      long timeoutMs,
      Consumer<Result> done) {
    String address = host + ":" + port;
    request.headers().set(HttpHeaderNames.HOST, address);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    if (!keepAlive) {
      request.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    Call call = new Call(address, keepAlive, done);
    call.scheduleTimeout(timeoutMs);
    Channel pooled = keepAlive ? takeIdle(address) : null;
    if (pooled != null) {
      call.start(pooled, request);
      return;
    }
    ChannelFuture connecting =
        ClientChannels.connect(loop, host, port, CONNECT_TIMEOUT_MS, new PipelineInitializer());
    connecting.addListener(
        f -> {
          if (f.isSuccess() && !call.finished) {
            call.start(connecting.channel(), request);
          } else {
            request.release();
            connecting.channel().close();
            call.fail("cannot connect");
          }
        });
  }

  private Channel takeIdle(String address) {
    ArrayDeque<Channel> channels = idleConnections.get(address);
    for (Channel c = poll(channels); c != null; c = poll(channels)) {
      if (c.isActive()) {
        return c;
      }
    }
    return null;
  }

  private void closeIdle(String address) {
    ArrayDeque<Channel> channels = idleConnections.remove(address);
    if (channels != null) {
      channels.forEach(Channel::close);
    }
  }

  private static Channel poll(ArrayDeque<Channel> channels) {
    return channels == null ? null : channels.pollFirst();
  }

  private final class PipelineInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel ch) {
      ResponseHandler responses = new ResponseHandler();
      ch.pipeline()
          .addLast(new ProgressHandler(responses))
          .addLast(THROTTLE, new PartThrottle())
          .addLast(new ContentMerger())
          .addLast(CALL, responses);
    }
  }

  /** Records the arrival of bytes before they make up a complete response. */
  private final class ProgressHandler extends ChannelInboundHandlerAdapter {
    private final ResponseHandler responses;

    private ProgressHandler(ResponseHandler responses) {
      this.responses = responses;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (responses.call != null) {
        responses.call.lastReadNanos = OptionalLong.of(System.nanoTime());
      }
      ctx.fireChannelRead(message);
    }
  }

  /**
   * Passes the response to its call. Each call has a codec of its own, so that no byte can be left
   * in a decoder and become part of the next response.
   */
  private final class ResponseHandler extends SimpleChannelInboundHandler<Object> {
    private Call call;

    private void begin(Channel ch, Call started) {
      call = started;
      ch.pipeline()
          .addBefore(THROTTLE, CODEC, ClientChannels.newCodec())
          .addBefore(CALL, AGGREGATOR, new HttpObjectAggregator(maxResponseBytes));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      // The codec also ends a response without framing when the channel has become inactive.
      if (call == null
          || !ctx.channel().isActive()
          || !(message instanceof FullHttpResponse response)
          || response.decoderResult().isFailure()
          || !ResponseHeads.hasValidStatus(response)
          || ResponseHeads.isMerged(response)) {
        ctx.close();
        return;
      }
      Call completed = call;
      call = null;
      ctx.pipeline().remove(AGGREGATOR);
      // Passes on the bytes that follow the response, if there are any.
      ctx.pipeline().remove(CODEC);
      completed.complete(ctx.channel(), response);
    }

    /** Closes the connection that the server has ended; the codec has been told before. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        ctx.close();
      }
      ctx.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      failCall("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      failCall(String.valueOf(cause.getMessage()));
      ctx.close();
    }

    private void failCall(String reason) {
      if (call != null) {
        Call failed = call;
        call = null;
        failed.fail(reason);
      }
    }
  }

  private final class Call {
    private final String address;
    private final boolean keepAlive;
    private final Consumer<Result> done;
    private ScheduledFuture<?> timeout;
    private Channel channel;
    private final long startNanos = System.nanoTime();
    private OptionalLong lastReadNanos = OptionalLong.empty();
    private boolean finished;

    private Call(String address, boolean keepAlive, Consumer<Result> done) {
      this.address = address;
      this.keepAlive = keepAlive;
      this.done = done;
    }

    private void scheduleTimeout(long delayMs) {
      timeout = loop.schedule(this::onTimeout, delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Fails the call unless its response is in transit: on a slow link the limit applies to the
     * pause between bytes.
     */
    private void onTimeout() {
      long now = System.nanoTime();
      long idleMs = TimeUnit.NANOSECONDS.toMillis(now - lastReadNanos.orElse(startNanos));
      boolean tooLong = TimeUnit.NANOSECONDS.toMillis(now - startNanos) >= MAX_CALL_DURATION_MS;
      if (lastReadNanos.isPresent() && idleMs < READ_IDLE_TIMEOUT_MS && !tooLong) {
        scheduleTimeout(READ_IDLE_TIMEOUT_MS - idleMs);
      } else {
        fail("timed out");
      }
    }

    private void start(Channel c, FullHttpRequest request) {
      channel = c;
      ((ResponseHandler) c.pipeline().get(CALL)).begin(c, this);
      c.writeAndFlush(request);
    }

    private void complete(Channel c, FullHttpResponse response) {
      if (keepAlive && HttpUtil.isKeepAlive(response) && c.isActive()) {
        idleConnections.computeIfAbsent(address, a -> new ArrayDeque<>()).addFirst(c);
      } else {
        c.close();
      }
      channel = null;
      finish(
          new Result.Completed(
              response.status().code(),
              response.headers(),
              ByteBufUtil.getBytes(response.content())));
    }

    private void fail(String reason) {
      if (!finished && keepAlive && channel != null) {
        // Connections to a server stall together, so the next call has to open a new one.
        closeIdle(address);
      }
      finish(new Result.Failed(reason));
    }

    private void finish(Result result) {
      if (finished) {
        return;
      }
      finished = true;
      timeout.cancel(false);
      if (channel != null) {
        channel.close();
      }
      done.accept(result);
    }
  }
}
