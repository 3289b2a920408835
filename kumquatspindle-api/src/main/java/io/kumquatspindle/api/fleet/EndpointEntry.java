package io.kumquatspindle.api.fleet;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The service discovery entry of an endpoint.
 *
 * @param id identifier; it usually changes when the endpoint restarts
 * @param service name of its service
 * @param host IP address
 * @param port port
 * @param domain name of its failure domain
 * @param slots maximum number of concurrent requests
 * @param leaving whether it accepts no new requests
 * @param removedInMs time until it is removed, in ms, if it is removed at short notice
 * @param startedAtMs start time, in ms since the epoch; 0 if unknown
 * @param models models that it has loaded
 * @param inMemory models that are cached in its main memory
 * @param onDisk models that are cached on its disk
 * @param coldLeftMs time for which it stays cold, in ms; 0 if it is not cold
 */
public record EndpointEntry(
    String id,
    String service,
    String host,
    int port,
    String domain,
    int slots,
    boolean leaving,
    OptionalLong removedInMs,
    long startedAtMs,
    List<LoadedModel> models,
    Set<String> inMemory,
    Set<String> onDisk,
    long coldLeftMs) {

  /** Copies the collections. */
  public EndpointEntry {
    models = List.copyOf(models);
    inMemory = Set.copyOf(inMemory);
    onDisk = Set.copyOf(onDisk);
  }

  /**
   * Creates the entry of an endpoint that is not cold.
   *
   * @param id identifier
   * @param service name of its service
   * @param host IP address
   * @param port port
   * @param domain name of its failure domain
   * @param slots maximum number of concurrent requests
   * @param leaving whether it accepts no new requests
   * @param removedInMs time until it is removed, in ms, if it is removed at short notice
   * @param startedAtMs start time, in ms since the epoch; 0 if unknown
   * @param models models that it has loaded
   * @param inMemory models that are cached in its main memory
   * @param onDisk models that are cached on its disk
   */
  public EndpointEntry(
      String id,
      String service,
      String host,
      int port,
      String domain,
      int slots,
      boolean leaving,
      OptionalLong removedInMs,
      long startedAtMs,
      List<LoadedModel> models,
      Set<String> inMemory,
      Set<String> onDisk) {
    this(
        id,
        service,
        host,
        port,
        domain,
        slots,
        leaving,
        removedInMs,
        startedAtMs,
        models,
        inMemory,
        onDisk,
        0);
  }

  /**
   * Returns the address in the form {@code host:port}.
   *
   * @return the address
   */
  public String address() {
    return host + ":" + port;
  }
}
