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
import io.kumquatspindle.control.state.StreamEvent;
import io.kumquatspindle.control.state.StreamEventHandler;
import io.kumquatspindle.control.state.StreamFeed;
import io.kumquatspindle.control.state.StreamOwner;
import io.kumquatspindle.engine.placement.LoadAction;
import io.kumquatspindle.transport.worker.EventWorker;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Owns the fold of the decisions stream and decides loads and unloads for this VM. */
public final class PlacementController implements StreamOwner, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int RING_CAPACITY = 1024;
  // Endpoints that a ticket has just added count as not answering until their first report.
  private static final long FIRST_REPORTS_MS = 2_000;

  private final MonotonicClock clock;
  private final PlacementFoldAdapter fold;
  private final StreamEventHandler handler;
  private final PlacementActions actions;
  private final Outlooks outlooks;
  private final EventWorker<PlacementEvent> duty;
  private volatile PlacementUpdate published = new PlacementUpdate(List.of());
  private boolean logReachable = true;
  private long configuredAtMs;

  /**
   * Creates a controller and starts its thread.
   *
   * @param fold the fold and the load controller of this VM
   * @param actions carries out what the load controller decides
   * @param clock the monotonic clock
   */
  public PlacementController(
      PlacementFoldAdapter fold, PlacementActions actions, MonotonicClock clock) {
    this.fold = fold;
    this.actions = actions;
    this.clock = clock;
    this.handler = new StreamEventHandler(new StreamFeed(fold));
    this.outlooks = new Outlooks(clock);
    this.duty =
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
    return duty.offer(new PlacementEvent.Stream(event));
  }

  @Override
  public StreamEventHandler stream() {
    return handler;
  }

  /**
   * Takes a configuration that has come into force.
   *
   * @param state the published configuration
   */
  public void inForce(ConfigurationState state) {
    duty.offer(new PlacementEvent.InForce(state.configuration()));
  }

  /**
   * Takes word that requests wait.
   *
   * @param wanted what is wanted
   * @param reply takes the outlook, on the controller's thread
   */
  public void wanted(ModelWanted wanted, Consumer<ModelOutlook> reply) {
    if (!duty.offer(new PlacementEvent.Wanted(wanted, clock.nowMs(), reply))) {
      reply.accept(
          new ModelOutlook(wanted.artifact(), EntryMessage.Outlook.QUEUED, 0, "control is busy"));
    }
  }

  /**
   * Takes a report.
   *
   * @param report the report
   * @param takenAtMs when the endpoint was asked, on the monotonic clock
   */
  public void reported(EndpointReport report, long takenAtMs) {
    duty.offer(new PlacementEvent.Reported(report, takenAtMs));
  }

  /**
   * Takes the use of replicas by an entry program.
   *
   * @param vm its VM
   * @param use the use
   */
  public void used(VmId vm, ModelUse use) {
    duty.offer(new PlacementEvent.Used(vm, use));
  }

  /**
   * Takes the platform's list.
   *
   * @param listed the VMs that it shows
   */
  public void vmsListed(Set<VmId> listed) {
    duty.offer(new PlacementEvent.VmsListed(listed));
  }

  /**
   * Takes the weight store's state.
   *
   * @param status the state
   */
  public void storeRead(StoreStatus status) {
    duty.offer(new PlacementEvent.StoreRead(status));
  }

  /** Lets time pass. */
  public void tick() {
    duty.offer(new PlacementEvent.Tick());
  }

  @Override
  public void close() {
    duty.close();
  }

  private void handle(PlacementEvent event) {
    long now = clock.nowMs();
    if (event instanceof PlacementEvent.Stream s) {
      streamEvent(s.event(), now);
    } else if (event instanceof PlacementEvent.InForce f) {
      configuration(f.configuration(), now);
    } else if (event instanceof PlacementEvent.Wanted w) {
      wanted(w, now);
    } else if (event instanceof PlacementEvent.OrderFinished o) {
      run(fold.controller().orderFinished(o.decision(), o.attempt(), o.result(), now));
    } else if (event instanceof PlacementEvent.Reported r) {
      run(fold.controller().endpointReported(r.report(), r.takenAtMs(), now));
    } else if (event instanceof PlacementEvent.AppendFinished a) {
      run(fold.controller().appendFinished(a.tag(), a.result(), now));
    } else if (event instanceof PlacementEvent.Used u) {
      used(u, now);
    } else if (event instanceof PlacementEvent.VmsListed l) {
      vmsListed(l.listed(), now);
    } else if (event instanceof PlacementEvent.StoreRead s) {
      run(fold.controller().storeStatusReported(s.status(), now));
    } else if (event instanceof PlacementEvent.Tick) {
      run(fold.controller().tick(now));
    }
  }

  private void streamEvent(StreamEvent event, long now) {
    boolean changed = handler.handle(event);
    run(fold.takeActions());
    if (handler.logReachable() != logReachable) {
      logReachable = handler.logReachable();
      logger.atInfo().log("decisions stream reachable: %s", logReachable);
      run(fold.controller().logAvailabilityChanged(logReachable, now));
    }
    if (changed) {
      publish();
    }
  }

  private void configuration(Configuration configuration, long now) {
    configuredAtMs = now;
    fold.configuration(configuration);
    run(fold.controller().configurationChanged(configuration, now));
    publish();
  }

  private void wanted(PlacementEvent.Wanted w, long now) {
    ModelWanted m = w.wanted();
    long deadline = w.receivedAtMs() + m.earliestDeadlineMs();
    run(fold.controller().demandReported(m.artifact(), m.customer(), m.waiting(), deadline, now));
    w.reply().accept(afterFirstReports(outlooks.of(m.artifact()), now));
  }

  private ModelOutlook afterFirstReports(ModelOutlook o, long now) {
    boolean early = now - configuredAtMs < FIRST_REPORTS_MS;
    if (!early || o.outlook() != EntryMessage.Outlook.REFUSED) {
      return o;
    }
    return new ModelOutlook(
        o.artifact(), EntryMessage.Outlook.QUEUED, 0, "endpoints have yet to report");
  }

  private void used(PlacementEvent.Used u, long now) {
    for (ReplicaUse r : u.use().uses()) {
      run(
          fold.controller()
              .replicaUseReported(
                  r.endpoint(), r.artifact(), r.inFlight(), r.idleMs(), u.vm(), now));
    }
  }

  private void vmsListed(Set<VmId> listed, long now) {
    Set<VmId> missing = new HashSet<>(fold.controller().orderOwners());
    missing.removeAll(listed);
    for (VmId vm : missing) {
      run(fold.controller().vmGone(vm, now));
    }
  }

  private void run(List<LoadAction> list) {
    for (LoadAction action : list) {
      if (action instanceof LoadAction.SendOutlook o) {
        outlooks.put(o);
      } else if (action instanceof LoadAction.AppendDecision a) {
        actions.append(
            a.record(), r -> duty.offer(new PlacementEvent.AppendFinished(a.appendId(), r)));
      } else if (action instanceof LoadAction.SendLoad s) {
        actions.load(
            s, r -> duty.offer(new PlacementEvent.OrderFinished(s.decision(), s.attempt(), r)));
      } else if (action instanceof LoadAction.SendUnload s) {
        actions.unload(
            s, r -> duty.offer(new PlacementEvent.OrderFinished(s.decision(), s.attempt(), r)));
      }
    }
  }

  private void publish() {
    PlacementUpdate update = fold.toUpdate(outlooks);
    if (!update.equals(published)) {
      published = update;
      actions.placementChanged();
    }
  }
}
