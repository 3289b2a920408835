package io.kumquatspindle.transport.callers;

import io.kumquatspindle.api.fleet.CallerLimits;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;

/** Creates the HTTP codec of callers' connections, which charges heads while they are parsed. */
public final class CallerCodec {
  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 16_384;

  private CallerCodec() {}

  /**
   * Creates a codec.
   *
   * @param limits limits for callers
   * @param account account of the connection
   * @return the codec
   */
  public static HttpServerCodec create(CallerLimits limits, CallerAccount account) {
    return new HttpServerCodec(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(new ChargedHeadersFactory(account, false))
            .setTrailersFactory(new ChargedHeadersFactory(account, true)));
  }

  /**
   * Returns the size of the largest head.
   *
   * @param limits limits for callers
   * @return size in bytes, with the first line
   */
  public static int maxHeadBytes(CallerLimits limits) {
    return MAX_INITIAL_LINE_BYTES + limits.maxHeaderBytes();
  }
}
