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

  /** The active configuration has changed. */
  record ConfigurationChanged(Configuration configuration) implements PlacementEvent {}

  /** Requests are waiting for an artifact; {@code reply} receives its outlook. */
  record ModelWantedReceived(ModelWanted wanted, long receivedAtMs, Consumer<ModelOutlook> reply)
      implements PlacementEvent {}

  /** An order has succeeded or failed. */
  record OrderFinished(long decision, int attempt, OrderResult result) implements PlacementEvent {}

  /** An endpoint has reported; {@code takenAtMs} is when the report was requested. */
  record ReportReceived(EndpointReport report, long takenAtMs) implements PlacementEvent {}

  /** An append has succeeded or failed. */
  record AppendFinished(long tag, AppendResult result) implements PlacementEvent {}

  /** An entry program has reported its use of replicas. */
  record ModelUseReceived(VmId vm, ModelUse use) implements PlacementEvent {}

  /** The platform's VM list was read and contains these VMs. */
  record VmListUpdated(Set<VmId> listed) implements PlacementEvent {}

  /** The status of the weight store was read. */
  record StoreStatusRead(StoreStatus status) implements PlacementEvent {}

  /** The periodic timer has fired. */
  record Tick() implements PlacementEvent {}
}
