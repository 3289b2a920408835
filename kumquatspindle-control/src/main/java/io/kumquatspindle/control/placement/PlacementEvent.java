package io.kumquatspindle.control.placement;

import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.message.EntryMessage.ModelOutlook;
import io.kumquatspindle.api.message.EntryMessage.ModelUse;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.AppendResult;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.OrderResult;
import io.kumquatspindle.api.platform.StoreStatus;
import io.kumquatspindle.control.state.StreamEvent;
import java.util.Set;
import java.util.function.Consumer;

/** Events of the placement controller. */
sealed interface PlacementEvent {

  /** An event of the decisions stream. */
  record Stream(StreamEvent event) implements PlacementEvent {}

  /** A configuration is in force. */
  record ConfigurationChanged(Configuration configuration) implements PlacementEvent {}

  /** Requests wait for an artifact; {@code reply} takes its outlook. */
  record ModelWantedReceived(ModelWanted wanted, long receivedAtMs, Consumer<ModelOutlook> reply)
      implements PlacementEvent {}

  /** An order has an outcome. */
  record OrderFinished(long decision, int attempt, OrderResult result) implements PlacementEvent {}

  /** An endpoint has reported; {@code takenAtMs} is when it was asked. */
  record ReportReceived(EndpointReport report, long takenAtMs) implements PlacementEvent {}

  /** An append has an outcome. */
  record AppendFinished(long tag, AppendResult result) implements PlacementEvent {}

  /** An entry program has told its use of replicas. */
  record ModelUseReceived(VmId vm, ModelUse use) implements PlacementEvent {}

  /** The platform's list was read and shows these VMs. */
  record VmListUpdated(Set<VmId> listed) implements PlacementEvent {}

  /** The weight store has told its state. */
  record StoreStatusRead(StoreStatus status) implements PlacementEvent {}

  /** Time has passed. */
  record Tick() implements PlacementEvent {}
}
