package io.kumquatspindle.node.port;

import io.kumquatspindle.api.fleet.CacheEvents;
import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.EngineReport;
import io.kumquatspindle.api.fleet.ModelOrder;
import io.kumquatspindle.api.fleet.OrderResponse;
import java.util.Optional;
import java.util.function.Consumer;

/** Management calls to model engines. All callbacks run on the event loop. */
public interface EngineClient {

  /**
   * Sends a model order, such as to load or to unload.
   *
   * @param endpoint the engine
   * @param order the order
   * @param callback receives the response
   */
  void order(EndpointEntry endpoint, ModelOrder order, Consumer<OrderResponse> callback);

  /**
   * Fetches the state of an engine.
   *
   * @param endpoint the engine
   * @param callback receives the state, or empty if there was no response
   */
  void report(EndpointEntry endpoint, Consumer<Optional<EngineReport>> callback);

  /**
   * Reads the changes of the prompt cache of an engine. The call waits for events for a time. By
   * default there are none to read.
   *
   * @param endpoint the engine
   * @param since number of the first event to read
   * @param callback receives the events, or empty if there was no usable response
   */
  default void cacheEvents(
      EndpointEntry endpoint, long since, Consumer<Optional<CacheEvents>> callback) {
    callback.accept(Optional.empty());
  }
}
