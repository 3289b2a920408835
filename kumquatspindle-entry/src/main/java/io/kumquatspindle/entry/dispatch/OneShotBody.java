package io.kumquatspindle.entry.dispatch;

import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/** A request body that the HTTP client must not resend by itself. */
final class OneShotBody extends RequestBody {
  private final byte[] bytes;

  OneShotBody(byte[] bytes) {
    this.bytes = bytes;
  }

  @Override
  public MediaType contentType() {
    return null;
  }

  @Override
  public long contentLength() {
    return bytes.length;
  }

  @Override
  public boolean isOneShot() {
    return true;
  }

  @Override
  public void writeTo(BufferedSink sink) throws IOException {
    sink.write(bytes);
  }
}
