package io.kumquatspindle.node.port;

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
}
