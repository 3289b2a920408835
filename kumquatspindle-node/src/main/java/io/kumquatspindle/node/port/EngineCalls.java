package io.kumquatspindle.node.port;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.EngineReport;
import io.kumquatspindle.api.fleet.ModelOrder;
import io.kumquatspindle.api.fleet.OrderResponse;
import java.util.Optional;
import java.util.function.Consumer;

/** Calls to a model engine beside requests. All answers are delivered on the event loop. */
public interface EngineCalls {

  /**
   * Sends an order.
   *
   * @param endpoint the engine
   * @param order the order
   * @param answer gets the answer
   */
  void order(EndpointEntry endpoint, ModelOrder order, Consumer<OrderResponse> answer);

  /**
   * Asks for the engine's state.
   *
   * @param endpoint the engine
   * @param answer gets the state, or empty if there was no answer
   */
  void report(EndpointEntry endpoint, Consumer<Optional<EngineReport>> answer);
}
