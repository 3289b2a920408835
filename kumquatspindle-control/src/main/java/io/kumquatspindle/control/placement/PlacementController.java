package io.kumquatspindle.control.placement;

import com.google.common.flogger.FluentLogger;
import io.kumquatspindle.api.config.Configuration;
import io.kumquatspindle.api.message.EntryMessage;
import io.kumquatspindle.api.message.EntryMessage.ModelOutlook;
import io.kumquatspindle.api.message.EntryMessage.ModelUse;
import io.kumquatspindle.api.message.EntryMessage.ModelWanted;
import io.kumquatspindle.api.message.EntryMessage.PlacementUpdate;
import io.kumquatspindle.api.message.EntryMessage.ReplicaUse;
import io.kumquatspindle.api.model.VmId;
import io.kumquatspindle.api.platform.EndpointReport;
import io.kumquatspindle.api.platform.StoreStatus;
import io.kumquatspindle.api.time.MonotonicClock;
import io.kumquatspindle.control.config.ConfigurationState;
import io.kumquatspindle.control.state.StreamApplier;
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamEventHandler;
import io.kumquatspindle.control.state.StreamOwner;
import io.kumquatspindle.engine.placement.LoadAction;
import io.kumquatspindle.transport.worker.EventWorker;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Owns the placement, which results from the decisions stream, and decides on behalf of this VM
 * which models are loaded and unloaded.
 */
public final class PlacementController implements StreamOwner, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int RING_CAPACITY = 1024;
  // Endpoints that a ticket has just added count as unreachable until their first report. During
  // this time, refusals are reported as queued.
  private static final long INITIAL_REPORT_WAIT_MS = 2_000;

  private final MonotonicClock clock;
  private final PlacementStreamStateMachine stateMachine;
  private final StreamEventHandler handler;
  private final PlacementActions actions;
  private final OutlookCache outlooks;
  private final EventWorker<PlacementEvent> worker;
  private volatile PlacementUpdate published = new PlacementUpdate(List.of());
  private boolean logReachable = true;
  private long configurationChangedAtMs;

  /**
   * Creates a controller and starts its thread.
   *
   * @param stateMachine the state machine of the decisions stream, with this VM's load controller
   * @param actions carries out the decisions of the load controller
   * @param clock the monotonic clock
   */
  public PlacementController(
      PlacementStreamStateMachine stateMachine, PlacementActions actions, MonotonicClock clock) {
    this.stateMachine = stateMachine;
    this.actions = actions;
    this.clock = clock;
    this.handler = new StreamEventHandler(new StreamApplier(stateMachine));
    this.outlooks = new OutlookCache(clock);
    this.worker =
        EventWorker.<PlacementEvent>builder("placement", this::handle)
            .capacity(RING_CAPACITY)
            .start();
  }

  /**
   * Returns the replicas, as last published.
   *
   * @return the replicas
   */
  public PlacementUpdate placement() {
    return published;
  }

  @Override
  public boolean offer(StreamEvent event) {
    return worker.offer(new PlacementEvent.Stream(event));
  }

  @Override
  public StreamEventHandler eventHandler() {
    return handler;
  }

  /**
   * Handles a new active configuration.
   *
   * @param state the published state
   */
  public void configurationChanged(ConfigurationState state) {
    worker.offer(new PlacementEvent.ConfigurationChanged(state.configuration()));
  }

  /**
   * Handles a message that requests are waiting for an artifact.
   *
   * @param wanted the message
   * @param reply receives the outlook, on the controller's thread, or on the calling thread if the
   *     queue is full
   */
  public void modelWanted(ModelWanted wanted, Consumer<ModelOutlook> reply) {
    if (!worker.offer(new PlacementEvent.ModelWantedReceived(wanted, clock.nowMs(), reply))) {
      reply.accept(
          new ModelOutlook(wanted.artifact(), EntryMessage.Outlook.QUEUED, 0, "control is busy"));
    }
  }

  /**
   * Handles a report of an endpoint.
   *
   * @param report the report
   * @param takenAtMs when the report was requested, on the monotonic clock
   */
  public void endpointReported(EndpointReport report, long takenAtMs) {
    worker.offer(new PlacementEvent.ReportReceived(report, takenAtMs));
  }

  /**
   * Handles a message about the use of replicas by an entry program.
   *
   * @param vm VM of the entry program
   * @param use the message
   */
  public void modelUsed(VmId vm, ModelUse use) {
    worker.offer(new PlacementEvent.ModelUseReceived(vm, use));
  }

  /**
   * Handles a new state of the platform's VM list.
   *
   * @param listed the VMs on the list
   */
  public void vmListUpdated(Set<VmId> listed) {
    worker.offer(new PlacementEvent.VmListUpdated(listed));
  }

  /**
   * Handles the status of the weight store.
   *
   * @param status the status
   */
  public void storeStatusRead(StoreStatus status) {
    worker.offer(new PlacementEvent.StoreStatusRead(status));
  }

  /** Performs the work that is due at the current time. */
  public void tick() {
    worker.offer(new PlacementEvent.Tick());
  }

  @Override
  public void close() {
    worker.close();
  }

  private void handle(PlacementEvent event) {
    long now = clock.nowMs();
    if (event instanceof PlacementEvent.Stream s) {
      handleStreamEvent(s.event(), now);
    } else if (event instanceof PlacementEvent.ConfigurationChanged c) {
      applyConfiguration(c.configuration(), now);
    } else if (event instanceof PlacementEvent.ModelWantedReceived w) {
      modelWanted(w, now);
    } else if (event instanceof PlacementEvent.OrderFinished o) {
      run(stateMachine.controller().orderFinished(o.decision(), o.attempt(), o.result(), now));
    } else if (event instanceof PlacementEvent.ReportReceived r) {
      run(stateMachine.controller().endpointReported(r.report(), r.takenAtMs(), now));
    } else if (event instanceof PlacementEvent.AppendFinished a) {
      run(stateMachine.controller().appendFinished(a.tag(), a.result(), now));
    } else if (event instanceof PlacementEvent.ModelUseReceived u) {
      modelUsed(u, now);
    } else if (event instanceof PlacementEvent.VmListUpdated l) {
      applyVmList(l.listed(), now);
    } else if (event instanceof PlacementEvent.StoreStatusRead s) {
      run(stateMachine.controller().storeStatusReported(s.status(), now));
    } else if (event instanceof PlacementEvent.Tick) {
      run(stateMachine.controller().tick(now));
    }
  }

  private void handleStreamEvent(StreamEvent event, long now) {
    boolean changed = handler.handle(event);
    run(stateMachine.takeActions());
    if (handler.logReachable() != logReachable) {
      logReachable = handler.logReachable();
      logger.atInfo().log("decisions stream reachable: %s", logReachable);
      run(stateMachine.controller().logAvailabilityChanged(logReachable, now));
    }
    if (changed) {
      publish();
    }
  }

  private void applyConfiguration(Configuration configuration, long now) {
    configurationChangedAtMs = now;
    stateMachine.configuration(configuration);
    run(stateMachine.controller().configurationChanged(configuration, now));
    publish();
  }

  private void modelWanted(PlacementEvent.ModelWantedReceived w, long now) {
    ModelWanted m = w.wanted();
    long deadline = w.receivedAtMs() + m.earliestDeadlineMs();
    run(
        stateMachine
            .controller()
            .demandReported(m.artifact(), m.customer(), m.waiting(), deadline, now));
    w.reply().accept(queuedWhileReportsPending(outlooks.get(m.artifact()), now));
  }

  private ModelOutlook queuedWhileReportsPending(ModelOutlook outlook, long now) {
    boolean reportsPending = now - configurationChangedAtMs < INITIAL_REPORT_WAIT_MS;
    if (!reportsPending || outlook.outlook() != EntryMessage.Outlook.REFUSED) {
      return outlook;
    }
    return new ModelOutlook(
        outlook.artifact(), EntryMessage.Outlook.QUEUED, 0, "endpoints have yet to report");
  }

  private void modelUsed(PlacementEvent.ModelUseReceived u, long now) {
    for (ReplicaUse r : u.use().uses()) {
      run(
          stateMachine
              .controller()
              .replicaUseReported(
                  r.endpoint(), r.artifact(), r.inFlight(), r.idleMs(), u.vm(), now));
    }
  }

  private void applyVmList(Set<VmId> listed, long now) {
    Set<VmId> missing = new HashSet<>(stateMachine.controller().orderOwners());
    missing.removeAll(listed);
    for (VmId vm : missing) {
      run(stateMachine.controller().vmGone(vm, now));
    }
  }

  private void run(List<LoadAction> actionList) {
    for (LoadAction action : actionList) {
      if (action instanceof LoadAction.SendOutlook o) {
        outlooks.put(o);
      } else if (action instanceof LoadAction.AppendDecision a) {
        actions.append(
            a.record(), r -> worker.offer(new PlacementEvent.AppendFinished(a.appendId(), r)));
      } else if (action instanceof LoadAction.SendLoad s) {
        actions.load(
            s, r -> worker.offer(new PlacementEvent.OrderFinished(s.decision(), s.attempt(), r)));
      } else if (action instanceof LoadAction.SendUnload s) {
        actions.unload(
            s, r -> worker.offer(new PlacementEvent.OrderFinished(s.decision(), s.attempt(), r)));
      }
    }
  }

  private void publish() {
    PlacementUpdate update = stateMachine.toUpdate(outlooks);
    if (!update.equals(published)) {
      published = update;
      actions.placementChanged();
    }
  }
}
