package io.kumquatspindle.entry.request;

import io.kumquatspindle.api.config.ServiceSpec;
import io.kumquatspindle.api.model.ArtifactName;
import java.util.function.Function;

/** The model, service or list that a request asks for. */
public sealed interface Target {

  /**
   * Applies the function for the actual case.
   *
   * @param completion applied to a completion
   * @param service applied to a call of a service
   * @param list applied to the list of models
   * @return result of the function
   */
  <T> T fold(
      Function<Completion, T> completion,
      Function<ServiceCall, T> service,
      Function<ModelList, T> list);

  /**
   * A completion by a model or adapter. It can be retried.
   *
   * @param artifact the model or adapter
   * @param streamed whether the caller requested server-sent events
   * @param promptTokens estimated number of tokens in the prompt
   * @param maxTokens maximum number of tokens to generate
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
   * A call of a service that is not a model.
   *
   * @param spec the service
   * @param pathAndQuery path at the service, with those query parameters that the service declares
   * @param open whether the call uses an open route, which needs no key
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
