package io.kumquatspindle.node.port;

import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.api.fleet.ResponseHead;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Translates the heads of requests and answers. */
public interface HeaderCodec {

  /**
   * Decodes the head of a caller's request.
   *
   * @param request the request
   * @return what it says
   * @throws IllegalArgumentException if a value cannot be read
   */
  RequestHead call(HttpRequest request);

  /**
   * Makes the headers of the request that goes to an endpoint.
   *
   * @param caller headers that the caller sent
   * @param forward what this VM sets itself
   * @return headers without those that concern one connection only and without the key
   */
  HttpHeaders forward(HttpHeaders caller, Forward forward);

  /**
   * Decodes the head of an endpoint's answer.
   *
   * @param response the answer
   * @return what it says
   */
  ResponseHead answer(HttpResponse response);

  /**
   * Makes the headers of the answer that goes to the caller.
   *
   * @param endpoint headers that the endpoint sent
   * @return headers without those that concern one connection only
   */
  HttpHeaders back(HttpHeaders endpoint);

  /**
   * Names the request in an answer of this VM's own.
   *
   * @param headers headers of the answer
   * @param requestId identity of the request; empty text if it has none
   */
  void name(HttpHeaders headers, String requestId);

  /**
   * What this VM sets itself in a request to an endpoint.
   *
   * @param endpointId identity of the endpoint that shall run it
   * @param remainingMs time left, in ms
   * @param customer name of the customer, if a key came with the request
   * @param rank urgency, 0 is the highest
   * @param resumeAfter id of the last event that the caller has, if a stream goes on
   */
  record Forward(
      String endpointId,
      long remainingMs,
      Optional<String> customer,
      int rank,
      Optional<String> resumeAfter) {}
}
