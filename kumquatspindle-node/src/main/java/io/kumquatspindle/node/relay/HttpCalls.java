package io.kumquatspindle.node.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Small calls with whole answers, each with a time limit. Used on the event loop only. */
public final class HttpCalls {
  /** Time to connect, in ms; a round trip within a site takes a few ms. */
  private static final int CONNECT_MS = 400;

  /** Longest pause within an answer that is coming, in ms; slow answers take 0.4 s. */
  private static final long PAUSE_MS = 900;

  /** Longest time of an answer that is coming, in ms; the largest takes 9.6 s over 7 Mbit/s. */
  private static final long MOST_MS = 10_000;

  /** Largest answer, in bytes: a page of the store's newest records is at most 1 MB. */
  private static final int MOST_ANSWER_BYTES = 8 * 1024 * 1024;

  private final EventLoop loop;
  private final Map<String, ArrayDeque<Channel>> idle = new HashMap<>();

  /** Result of a call. */
  public sealed interface Result {
    /**
     * A whole answer.
     *
     * @param status HTTP status
     * @param body body of the answer
     */
    record Answered(int status, byte[] body) implements Result {}

    /**
     * No whole answer; the call may have taken effect.
     *
     * @param reason for the log
     */
    record Failed(String reason) implements Result {}
  }

  /**
   * Creates the client.
   *
   * @param loop event loop of all its connections
   */
  public HttpCalls(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Calls a server.
   *
   * @param host IP address
   * @param port port
   * @param request the request; released by the call
   * @param keep whether the connection may be used before and after by other calls
   * @param timeoutMs time limit, in ms
   * @param done gets the result, once
   */
  public void call(
      String host,
      int port,
      FullHttpRequest request,
      boolean keep,
      long timeoutMs,
      Consumer<Result> done) {
    String address = host + ":" + port;
    request.headers().set(HttpHeaderNames.HOST, address);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    if (!keep) {
      request.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    Call call = new Call(address, keep, done);
    call.limitIn(timeoutMs);
    Channel kept = keep ? takeIdle(address) : null;
    if (kept != null) {
      call.start(kept, request);
      return;
    }
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new Setup())
            .connect(host, port);
    connecting.addListener(
        f -> {
          if (f.isSuccess() && !call.over) {
            call.start(connecting.channel(), request);
          } else {
            request.release();
            connecting.channel().close();
            call.fail("cannot connect");
          }
        });
  }

  private Channel takeIdle(String address) {
    ArrayDeque<Channel> channels = idle.get(address);
    for (Channel c = poll(channels); c != null; c = poll(channels)) {
      if (c.isActive()) {
        return c;
      }
    }
    return null;
  }

  private void closeIdle(String address) {
    ArrayDeque<Channel> channels = idle.remove(address);
    if (channels != null) {
      channels.forEach(Channel::close);
    }
  }

  private static Channel poll(ArrayDeque<Channel> channels) {
    return channels == null ? null : channels.pollFirst();
  }

  private static final class Setup extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel ch) {
      Answers answers = new Answers();
      ch.pipeline().addLast(new Progress(answers));
      ch.pipeline().addLast(new HttpClientCodec());
      ch.pipeline().addLast(new HttpObjectAggregator(MOST_ANSWER_BYTES));
      ch.pipeline().addLast("call", answers);
    }
  }

  /** Notes when bytes arrive, before they make up a whole answer. */
  private static final class Progress extends ChannelInboundHandlerAdapter {
    private final Answers answers;

    private Progress(Answers answers) {
      this.answers = answers;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (answers.call != null) {
        answers.call.byteNanos = OptionalLong.of(System.nanoTime());
      }
      ctx.fireChannelRead(message);
    }
  }

  private static final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Call call;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      if (call == null || answer.decoderResult().isFailure()) {
        ctx.close();
        return;
      }
      Call ended = call;
      call = null;
      ended.answered(ctx.channel(), answer);
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
        Call ended = call;
        call = null;
        ended.fail(reason);
      }
    }
  }

  private final class Call {
    private final String address;
    private final boolean keep;
    private final Consumer<Result> done;
    private ScheduledFuture<?> limit;
    private Channel channel;
    private final long begunNanos = System.nanoTime();
    private OptionalLong byteNanos = OptionalLong.empty();
    private boolean over;

    private Call(String address, boolean keep, Consumer<Result> done) {
      this.address = address;
      this.keep = keep;
      this.done = done;
    }

    private void limitIn(long ms) {
      limit = loop.schedule(this::onLimit, ms, TimeUnit.MILLISECONDS);
    }

    /** The limit is on the silence: an answer that is coming over a slow link is waited for. */
    private void onLimit() {
      long now = System.nanoTime();
      long pausedMs = TimeUnit.NANOSECONDS.toMillis(now - byteNanos.orElse(begunNanos));
      boolean late = TimeUnit.NANOSECONDS.toMillis(now - begunNanos) >= MOST_MS;
      if (byteNanos.isPresent() && pausedMs < PAUSE_MS && !late) {
        limitIn(PAUSE_MS - pausedMs);
      } else {
        fail("no answer in time");
      }
    }

    private void start(Channel c, FullHttpRequest request) {
      channel = c;
      ((Answers) c.pipeline().get("call")).call = this;
      c.writeAndFlush(request);
    }

    private void answered(Channel c, FullHttpResponse answer) {
      if (keep && HttpUtil.isKeepAlive(answer)) {
        idle.computeIfAbsent(address, a -> new ArrayDeque<>()).addFirst(c);
      } else {
        c.close();
      }
      channel = null;
      end(new Result.Answered(answer.status().code(), ByteBufUtil.getBytes(answer.content())));
    }

    private void fail(String reason) {
      if (!over && keep && channel != null) {
        // Connections go silent together; the next call opens a new one.
        closeIdle(address);
      }
      end(new Result.Failed(reason));
    }

    private void end(Result result) {
      if (over) {
        return;
      }
      over = true;
      limit.cancel(false);
      if (channel != null) {
        channel.close();
      }
      done.accept(result);
    }
  }
}
