package io.kumquatspindle.node.port;

import io.kumquatspindle.api.fleet.EndpointEntry;
import io.kumquatspindle.api.fleet.FleetConfiguration;
import java.util.Optional;

/** Decodes records of the store. */
public interface RecordDecoder {

  /**
   * Returns whether a key is that of the configuration.
   *
   * @param key key of a record
   * @return whether the record is a configuration
   */
  boolean isConfiguration(String key);

  /**
   * Returns the failure domain that is evacuated while a key exists.
   *
   * @param key key of a record in the topic of configurations
   * @return name of the failure domain, or empty if the key is not that of an evacuation
   */
  Optional<String> evacuatedDomain(String key);

  /**
   * Decodes a configuration.
   *
   * @param value value of the record
   * @return the configuration
   * @throws MalformedRecordException if the value is not a valid configuration
   */
  FleetConfiguration decodeConfiguration(byte[] value) throws MalformedRecordException;

  /**
   * Decodes a service discovery entry.
   *
   * @param id key of the record
   * @param value value of the record
   * @return the entry
   * @throws MalformedRecordException if the value is not a valid entry
   */
  EndpointEntry decodeEndpoint(String id, byte[] value) throws MalformedRecordException;
}
