package io.kumquatspindle.node.port;

import io.kumquatspindle.api.fleet.RequestHead;
import io.kumquatspindle.api.fleet.ResponseHead;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Decodes and creates the headers of requests and responses, in the terms of the platform. */
public interface HeaderCodec {

  /**
   * Decodes the head of a caller's request.
   *
   * @param request the request
   * @return the decoded values
   * @throws IllegalArgumentException if a value cannot be decoded
   */
  RequestHead decodeRequest(HttpRequest request);

  /**
   * Creates the headers of the request to an endpoint.
   *
   * @param caller headers of the caller's request
   * @param forward values that this VM sets
   * @return headers without hop-by-hop headers and without the caller's key
   */
  HttpHeaders requestHeaders(HttpHeaders caller, Forward forward);

  /**
   * Decodes the head of an endpoint's response.
   *
   * @param response the response
   * @return the decoded values
   */
  ResponseHead decodeResponse(HttpResponse response);

  /**
   * Creates the headers of the response to the caller.
   *
   * @param endpoint headers of the endpoint's response
   * @return headers without hop-by-hop headers
   */
  HttpHeaders responseHeaders(HttpHeaders endpoint);

  /**
   * Sets the request id in a response that this VM creates itself.
   *
   * @param headers headers of the response
   * @param requestId id of the request; empty if it has none
   */
  void setRequestId(HttpHeaders headers, String requestId);

  /**
   * Values that this VM sets in a request to an endpoint.
   *
   * @param endpointId id of the endpoint that is meant to run the request
   * @param remainingMs time until the deadline, in ms
   * @param customer name of the customer, if the request had a key
   * @param priority urgency at the endpoint, 0 to 9; 0 is the most urgent
   * @param resumeAfter id of the last event that the caller has received, if a stream is resumed
   */
  record Forward(
      String endpointId,
      long remainingMs,
      Optional<String> customer,
      int priority,
      Optional<String> resumeAfter) {}
}
