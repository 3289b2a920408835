package io.kumquatspindle.node.front;

import io.netty.handler.codec.http.FullHttpRequest;

/** Makes the handling of one request. */
interface ExchangeFactory {
  Exchange create(FullHttpRequest request, CallerChannel answer);
}
