package io.kumquatspindle.transport.link;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** The I/O threads and the buffer allocator shared by all link servers and clients of a process. */
public final class LinkRuntime implements AutoCloseable {
  private static final int MAX_THREADS = 2;
  private static final int PAGE_BYTES = 8192;

  // Limits direct memory for processes with a 64 MB heap: one arena with chunks of 256 KiB instead
  // of the default 4 MiB, and thread-local caches for small buffers only. Larger buffers are not
  // cached and are freed after use.
  private static final int CHUNK_ORDER = 5;
  private static final int SMALL_CACHE_SIZE = 64;
  private static final int NORMAL_CACHE_SIZE = 0;

  private static final long SHUTDOWN_LIMIT_MS = 2000;

  private final EventLoopGroup group;
  private final ByteBufAllocator allocator;
  private final LinkMetrics metrics;

  private LinkRuntime(int threads, String threadName, LinkMetrics metrics) {
    this.metrics = metrics;
    group = new NioEventLoopGroup(threads, new DefaultThreadFactory(threadName, true));
    allocator =
        new PooledByteBufAllocator(
            true, 0, 1, PAGE_BYTES, CHUNK_ORDER, SMALL_CACHE_SIZE, NORMAL_CACHE_SIZE, false);
  }

  /**
   * Starts a runtime whose metrics are not exported.
   *
   * @param threads number of I/O threads, 1 or 2
   * @param threadName prefix of the thread names
   * @return the runtime
   */
  public static LinkRuntime start(int threads, String threadName) {
    return start(threads, threadName, new LinkMetrics(new MetricRegistry()));
  }

  /**
   * Starts a runtime with the given metrics.
   *
   * @param threads number of I/O threads, 1 or 2
   * @param threadName prefix of the thread names
   * @param metrics counts the traffic of all links in this runtime
   * @return the runtime
   */
  public static LinkRuntime start(int threads, String threadName, LinkMetrics metrics) {
    if (threads < 1 || threads > MAX_THREADS) {
      throw new IllegalArgumentException("threads must be 1 or 2 but was " + threads);
    }
    return new LinkRuntime(threads, threadName, metrics);
  }

  EventLoopGroup group() {
    return group;
  }

  LinkMetrics metrics() {
    return metrics;
  }

  ByteBufAllocator allocator() {
    return allocator;
  }

  /** Closes all connections and stops the I/O threads, waiting at most 2 s for them to end. */
  @Override
  public void close() {
    group
        .shutdownGracefully(0, SHUTDOWN_LIMIT_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_LIMIT_MS);
  }
}
