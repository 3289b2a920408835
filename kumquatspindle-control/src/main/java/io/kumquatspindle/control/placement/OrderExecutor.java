package io.kumquatspindle.control.placement;

import io.kumquatspindle.api.platform.OrderResult;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Executes orders to endpoints, each of which blocks a thread until the endpoint has carried it
 * out.
 */
public final class OrderExecutor implements AutoCloseable {
  private static final int MAX_CONCURRENT_ORDERS = 48;
  private static final long KEEP_ALIVE_S = 10;

  private final ThreadPoolExecutor executor =
      new ThreadPoolExecutor(
          0,
          MAX_CONCURRENT_ORDERS,
          KEEP_ALIVE_S,
          TimeUnit.SECONDS,
          new SynchronousQueue<>(),
          r -> {
            Thread t = new Thread(r, "order");
            t.setDaemon(true);
            return t;
          });

  /**
   * Executes an order.
   *
   * @param order sends the order and waits for its outcome
   * @param callback receives the outcome on the order's thread, or on the calling thread if too
   *     many orders are in progress
   */
  public void execute(Supplier<OrderResult> order, Consumer<OrderResult> callback) {
    try {
      executor.execute(() -> callback.accept(order.get()));
    } catch (RejectedExecutionException e) {
      callback.accept(new OrderResult.Refused("too many orders in progress at this VM"));
    }
  }

  /**
   * Returns the number of orders in progress.
   *
   * @return the number of orders
   */
  public int inProgress() {
    return executor.getActiveCount();
  }

  @Override
  public void close() {
    executor.shutdown();
  }
}
