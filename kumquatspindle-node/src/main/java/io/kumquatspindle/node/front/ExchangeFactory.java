package io.kumquatspindle.node.front;

import io.netty.handler.codec.http.FullHttpRequest;

/** Creates the {@link Exchange} of each request. */
interface ExchangeFactory {
  Exchange create(FullHttpRequest request, CallerResponseWriter writer);
}
