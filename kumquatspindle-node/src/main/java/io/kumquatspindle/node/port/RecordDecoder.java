package io.kumquatspindle.node.port;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.FleetConfiguration;

/** Turns records of the store into what they say. */
public interface RecordDecoder {

  /**
   * Tells whether a key names the configuration.
   *
   * @param key key of a record
   * @return whether it does
   */
  boolean isConfiguration(String key);

  /**
   * Decodes a configuration.
   *
   * @param value value of the record
   * @return the configuration
   * @throws MalformedRecordException if the bytes are no configuration
   */
  FleetConfiguration configuration(byte[] value) throws MalformedRecordException;

  /**
   * Decodes an entry of service discovery.
   *
   * @param id key of the record
   * @param value value of the record
   * @return the entry
   * @throws MalformedRecordException if the bytes are no entry
   */
  EndpointEntry endpoint(String id, byte[] value) throws MalformedRecordException;
}
