package io.kumquatspindle.entry.http;

import io.kumquatspindle.api.fleet.CallerLimits;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.transport.callers.BodyMerger;
import io.kumquatspindle.transport.callers.CallerAccount;
import io.kumquatspindle.transport.callers.CallerCodec;
import io.kumquatspindle.transport.callers.CallerInputGate;
import io.kumquatspindle.transport.callers.CallerMemory;
import io.kumquatspindle.transport.callers.CallerTimeouts;
import io.kumquatspindle.transport.callers.ConnectionClosings;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.AttributeKey;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the connections of callers and the memory that their requests and responses hold. All
 * connections have the same event loop.
 */
final class CallerGuard implements ConnectionGuard {
  private static final AttributeKey<CallerAccount> ACCOUNT =
      AttributeKey.valueOf(CallerGuard.class, "account");

  private final CallerLimits limits;
  private final CallerMemory.Limits memoryLimits;
  private final ConnectionClosings closings;
  private final MonotonicClock clock;
  private CallerMemory memory;

  CallerGuard(
      CallerLimits limits,
      CallerMemory.Limits memoryLimits,
      ConnectionClosings closings,
      MonotonicClock clock) {
    this.limits = limits;
    this.memoryLimits = memoryLimits;
    this.closings = closings;
    this.clock = clock;
  }

  /** Returns the account of a connection; empty if its listener has no guard. */
  static Optional<CallerAccount> account(Channel channel) {
    return Optional.ofNullable(channel.attr(ACCOUNT).get());
  }

  @Override
  public void install(Channel channel) {
    if (memory == null) {
      memory = new CallerMemory(memoryLimits, closings, clock, channel.eventLoop());
      memory.start();
    }
    Optional<CallerAccount> admitted = memory.admit(channel);
    if (admitted.isEmpty()) {
      channel.close();
      return;
    }
    CallerAccount account = admitted.get();
    account.setUnreadLimitMs(TimeUnit.SECONDS.toMillis(CallerChannel.WRITE_STALL_TIMEOUT_SECONDS));
    channel.attr(ACCOUNT).set(account);
    ChannelPipeline pipeline = channel.pipeline();
    ChannelHandlerContext codec = pipeline.context(HttpServerCodec.class);
    if (codec == null) {
      throw new IllegalStateException("the HTTP library has no codec in its pipeline");
    }
    pipeline.replace(codec.handler(), codec.name(), CallerCodec.create(limits, account));
    pipeline.addAfter(codec.name(), "request-hold", new RequestHold(limits.maxBodyBytes()));
    pipeline.addAfter(codec.name(), "body-merger", new BodyMerger(account, limits.maxBodyBytes()));
    pipeline.addAfter(
        codec.name(), "caller-timeouts", new CallerTimeouts(limits, account, () -> {}));
    pipeline.addFirst("input-gate", new CallerInputGate(account, CallerCodec.maxHeadBytes(limits)));
  }
}
