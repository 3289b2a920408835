package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.config.ServiceSpec;
import io.kumquatspindle.api.model.ArtifactName;
import java.util.function.Function;

/** What a request is for. */
public sealed interface Target {

  /**
   * Returns the value for whichever case this is.
   *
   * @param completion value for a completion
   * @param service value for a call of a plain service
   * @param list value for the list of models
   * @return the value
   */
  <T> T fold(
      Function<Completion, T> completion,
      Function<ServiceCall, T> service,
      Function<ModelList, T> list);

  /**
   * A completion by a model or adapter; it may be repeated.
   *
   * @param artifact the model or adapter
   * @param streamed whether the caller wants server-sent events
   * @param promptTokens estimated tokens of the prompt
   * @param maxTokens the most tokens of the answer
   */
  record Completion(ArtifactName artifact, boolean streamed, long promptTokens, long maxTokens)
      implements Target {
    @Override
    public <T> T fold(
        Function<Completion, T> completion,
        Function<ServiceCall, T> service,
        Function<ModelList, T> list) {
      return completion.apply(this);
    }
  }

  /**
   * A call of a plain service.
   *
   * @param spec the service
   * @param pathAndQuery path at the service, with the declared query parameters
   * @param open whether it came by an open route, without a key
   */
  record ServiceCall(ServiceSpec spec, String pathAndQuery, boolean open) implements Target {
    @Override
    public <T> T fold(
        Function<Completion, T> completion,
        Function<ServiceCall, T> service,
        Function<ModelList, T> list) {
      return service.apply(this);
    }
  }

  /** The list of models that the key may use. */
  record ModelList() implements Target {
    @Override
    public <T> T fold(
        Function<Completion, T> completion,
        Function<ServiceCall, T> service,
        Function<ModelList, T> list) {
      return list.apply(this);
    }
  }
}
