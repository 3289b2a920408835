package io.kumquatspindle.node.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Creates headers that accept a limited number of fields. A field of a few bytes on the wire takes
 * some hundred bytes of memory, so that the size of a head alone does not bound its memory.
 */
public final class BoundedHeadersFactory implements HttpHeadersFactory {
  /** Largest number of fields in a head; servers send some ten. */
  private static final int MAX_FIELDS = 256;

  @Override
  public HttpHeaders newHeaders() {
    return new BoundedHeaders();
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return new BoundedHeaders();
  }

  private static final class BoundedHeaders extends DefaultHttpHeaders {
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      if (size() >= MAX_FIELDS) {
        throw new IllegalArgumentException("more than " + MAX_FIELDS + " header fields");
      }
      return super.add(name, value);
    }
  }
}
