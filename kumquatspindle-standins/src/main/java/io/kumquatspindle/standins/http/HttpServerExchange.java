package io.kumquatspindle.standins.http;

import io.jooby.Context;
import io.kumquatspindle.api.json.Json;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** One HTTP request and its response. */
public final class HttpServerExchange {
  private final Context ctx;
  private final Connection connection;
  private final byte[] body;
  private final Map<String, String> headers = new TreeMap<>();
  private final AtomicBoolean answered = new AtomicBoolean();

  HttpServerExchange(Context ctx, Connection connection) {
    this.ctx = ctx;
    this.connection = connection;
    this.body = ctx.body().bytes();
    ctx.headerMap().forEach((k, v) -> headers.put(k.toLowerCase(Locale.ROOT), v));
    headers.remove(ConnectionTagHandler.HEADER);
    Optional.ofNullable(headers.remove(ConnectionTagHandler.CONTENT_TYPE))
        .ifPresent(type -> headers.put("content-type", type));
  }

  /**
   * Returns the method.
   *
   * @return the method, in upper case
   */
  public String method() {
    return ctx.getMethod();
  }

  /**
   * Returns the path.
   *
   * @return the path, without the query
   */
  public String path() {
    return ctx.getRequestPath();
  }

  /**
   * Returns whether the request has the given method and path.
   *
   * @param method the method, in upper case
   * @param path the whole path
   * @return whether both are equal to those of the request
   */
  public boolean matches(String method, String path) {
    return method().equals(method) && path().equals(path);
  }

  /**
   * Returns the query.
   *
   * @return the query with its question mark, or an empty string
   */
  public String query() {
    return ctx.queryString();
  }

  /**
   * Returns a query parameter.
   *
   * @param name the parameter's name
   * @return its value, if present
   */
  public Optional<String> parameter(String name) {
    return ctx.query(name).toOptional();
  }

  /**
   * Returns a query parameter that is an integer.
   *
   * @param name the parameter's name
   * @param defaultValue value if the parameter is absent
   * @return the value
   * @throws IllegalArgumentException if the parameter is not an integer
   */
  public long longParameter(String name, long defaultValue) {
    return parameter(name).map(Long::parseLong).orElse(defaultValue);
  }

  /**
   * Returns a header.
   *
   * @param name the name, in lower case
   * @return its value, if present
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /**
   * Returns all headers.
   *
   * @return values by name in lower case
   */
  public Map<String, String> headers() {
    return headers;
  }

  /**
   * Returns the body.
   *
   * @return the body; empty if there is none
   */
  public byte[] body() {
    return body;
  }

  /**
   * Sets a header of the response.
   *
   * @param name the header's name
   * @param value the header's value
   * @return this exchange
   */
  public HttpServerExchange setHeader(String name, String value) {
    ctx.setResponseHeader(name, value);
    return this;
  }

  /**
   * Sends a complete response. Further responses to the same request are ignored.
   *
   * @param status the HTTP status
   * @param json the value to send as JSON
   */
  public void reply(int status, Object json) {
    if (answered.compareAndSet(false, true) && connection.isOpen()) {
      ctx.setResponseCode(status);
      ctx.setResponseHeader("content-type", "application/json");
      ctx.send(Json.encode(json));
    }
  }

  /**
   * Starts a response of server-sent events with status 200.
   *
   * @return the stream to write to
   */
  public EventStream startEventStream() {
    answered.set(true);
    ctx.setResponseCode(200);
    ctx.setResponseHeader("content-type", "text/event-stream");
    return new EventStream(ctx.responseSender(), connection);
  }

  /** Closes the connection after the data sent so far. */
  public void closeConnection() {
    answered.set(true);
    connection.close();
  }

  /**
   * Returns whether the client is still connected.
   *
   * @return whether the connection is open
   */
  public boolean isOpen() {
    return connection.isOpen();
  }

  /**
   * Calls a listener when the connection closes, immediately if it is closed already.
   *
   * @param listener called on an I/O thread, or on the calling thread if the connection is closed
   * @return an action that removes the listener
   */
  public Runnable onClosed(Runnable listener) {
    return connection.onClosed(listener);
  }

  /**
   * Returns the listener that accepted the connection.
   *
   * @return the listener
   */
  public Listener listener() {
    return connection.listener();
  }
}
