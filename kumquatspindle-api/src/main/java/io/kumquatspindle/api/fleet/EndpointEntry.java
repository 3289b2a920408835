package io.kumquatspindle.api.fleet;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What an endpoint says of itself in service discovery.
 *
 * @param id identity, new at most starts
 * @param service name of its service
 * @param host IP address
 * @param port port
 * @param domain name of its failure domain
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param leavesMs time until it is gone, in ms, if it is taken away at short notice
 * @param bornMs time of its start, in ms since the epoch; 0 if unknown
 * @param models models that it holds
 * @param inMemory models that its main memory holds copies of
 * @param onDisk models that its disk holds copies of
 */
public record EndpointEntry(
    String id,
    String service,
    String host,
    int port,
    String domain,
    int slots,
    boolean leaving,
    OptionalLong leavesMs,
    long bornMs,
    List<HeldModel> models,
    Set<String> inMemory,
    Set<String> onDisk) {

  /** Copies the collections. */
  public EndpointEntry {
    models = List.copyOf(models);
    inMemory = Set.copyOf(inMemory);
    onDisk = Set.copyOf(onDisk);
  }

  /**
   * Returns the text form of the address.
   *
   * @return host and port, joined by a colon
   */
  public String address() {
    return host + ":" + port;
  }
}
