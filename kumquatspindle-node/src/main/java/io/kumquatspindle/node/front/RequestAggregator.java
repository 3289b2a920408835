package io.kumquatspindle.node.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Aggregates requests. Closes the connection after each response of its own, such as 413, so that
 * all other requests of the connection are answered by their exchanges, in order.
 */
final class RequestAggregator extends HttpObjectAggregator {
  RequestAggregator(int maxBodyBytes) {
    super(maxBodyBytes, true);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized)
      throws Exception {
    oversized.headers().remove(HttpHeaderNames.EXPECT);
    HttpUtil.setKeepAlive(oversized, false);
    super.handleOversizedMessage(ctx, oversized);
  }
}
