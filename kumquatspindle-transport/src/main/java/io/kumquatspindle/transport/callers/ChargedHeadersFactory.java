package io.kumquatspindle.transport.callers;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Creates headers that charge each field to the account of the caller while the head is parsed. A
 * field of a few bytes on the wire takes some hundred bytes of memory.
 */
final class ChargedHeadersFactory implements HttpHeadersFactory {
  /**
   * Memory of a field besides its characters, in bytes: the entry, name and value objects with
   * their arrays (160 on a 64-bit JVM), and the entry of the copy for the endpoint.
   */
  private static final long FIELD_BYTES = 256;

  /** Memory of a list element in a value, in bytes; prompt parts are split into objects. */
  private static final long ELEMENT_BYTES = 128;

  private final CallerAccount account;
  private final boolean trailers;

  ChargedHeadersFactory(CallerAccount account, boolean trailers) {
    this.account = account;
    this.trailers = trailers;
  }

  @Override
  public HttpHeaders newHeaders() {
    if (!trailers) {
      account.onRequestLine();
    }
    return new ChargedHeaders(account);
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return newHeaders();
  }

  private static final class ChargedHeaders extends DefaultHttpHeaders {
    private final CallerAccount account;

    private ChargedHeaders(CallerAccount account) {
      this.account = account;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      String text = value.toString();
      long elements = text.chars().filter(c -> c == ',').count();
      account.addToRequest(FIELD_BYTES + name.length() + text.length() + ELEMENT_BYTES * elements);
      return super.add(name, value);
    }
  }
}
