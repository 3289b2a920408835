package io.kumquatspindle.node.front;

import java.util.OptionalLong;

/**
 * How far the response to an attempt had come when the attempt ended.
 *
 * @param sinceSentMs time since the request was sent, in ms
 * @param sinceHeadMs time since the head of the response arrived, in ms; empty if it did not
 * @param events number of complete events that the endpoint had sent
 */
record AttemptProgress(long sinceSentMs, OptionalLong sinceHeadMs, long events) {

  /** Returns whether the response had begun, without a complete event. */
  boolean justBegun() {
    return sinceHeadMs.isPresent() && events == 0;
  }
}
