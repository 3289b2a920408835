package io.kumquatspindle.control.config;

import io.kumquatspindle.control.state.StreamEvent;

/** Events of the configuration controller. */
sealed interface ConfigurationEvent {

  /** An event of the tickets stream. */
  record Stream(StreamEvent event) implements ConfigurationEvent {}

  /** A peer reported how recently its configuration was confirmed to be up to date. */
  record PeerFreshnessReceived(long peerOffset, long peerConfirmedAgoMs, long requestedAtMs)
      implements ConfigurationEvent {}
}
