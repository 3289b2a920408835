package io.kumquatspindle.standins.http;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.ServerChannel;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Captures the listening channel that Jooby creates, which Jooby does not expose.
 *
 * <p>Netty instantiates this class through {@code ServiceLoader} when the system property {@code
 * io.netty.bootstrap.extensions} is {@code serviceload}.
 */
public final class ListenerCapture extends ChannelInitializerExtension {
  private static final AtomicReference<ServerChannel> LAST = new AtomicReference<>();

  /** Creates the extension; called by Netty. */
  public ListenerCapture() {}

  @Override
  public void postInitializeServerListenerChannel(ServerChannel channel) {
    LAST.set(channel);
  }

  static ServerChannel last() {
    return LAST.get();
  }
}
