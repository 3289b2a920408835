package io.kumquatspindle.engine.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns from response times how long work takes at each endpoint, compared with the others of its
 * service. Handles endpoints that are permanently slower than others, endpoints that become slow or
 * sound again, and large fleets in which one VM sees a request in ten seconds at an endpoint: the
 * measurements of all VMs are combined by weight, and older ones count less. Together with the
 * figures that endpoints report about themselves, also handles speeds that change several times per
 * second. Not thread-safe: confined to one owner thread.
 *
 * <p>A measurement is compared with what is usual for its route and, as models differ in speed, for
 * its model. All averages are of logarithms: half as fast and twice as fast cancel out.
 */
public final class EndpointSpeeds {
  /** Lower bound of a factor, whatever is measured or reported. */
  public static final double MIN_FACTOR = 0.25;

  /** Upper bound of a factor, whatever is measured or reported. */
  public static final double MAX_FACTOR = 8;

  /**
   * Time in which the weight of a measurement halves, in ms. Short enough that an endpoint which
   * has recovered is found sound within some tens of seconds, although it gets few requests.
   */
  static final double HALF_LIFE_MS = 5_000;

  /**
   * Time in which the weight of a reported figure halves, in ms: such figures are samples of a
   * value that changes several times per second.
   */
  private static final double REPORTED_HALF_LIFE_MS = 200;

  /** Weight of the assumption that an endpoint is as fast as the others, in measurements. */
  private static final double PRIOR_WEIGHT = 2;

  /** Number of measurements of a route before others are compared with their mean. */
  private static final int MIN_ROUTE_MEASUREMENTS = 8;

  /** Number of latest measurements that determine what is usual for a route. */
  private static final int ROUTE_WINDOW = 100;

  /** Number of latest measurements that determine how much longer a model takes than others. */
  private static final int MODEL_WINDOW = 40;

  /**
   * Weight of the assumption that a model is as fast as the others, in measurements. More than that
   * of an endpoint, so that a model which only a slow endpoint holds does not count as slow.
   */
  private static final double MODEL_PRIOR_WEIGHT = 16;

  /** Maximum number of endpoints, models or routes of which measurements are kept. */
  private static final int MAX_KEPT = 1_024;

  /** Maximum number of endpoints in a report, which is part of every digest. */
  static final int MAX_REPORTS = 32;

  /** Maximum number of endpoints of which the reports of a peer are kept. */
  private static final int MAX_KEPT_OF_PEER = 4 * MAX_REPORTS;

  /** Weight below which the measurements of an endpoint are not reported. */
  private static final double MIN_REPORTED_WEIGHT = 0.25;

  /** Upper bound of the weight of a peer's measurements; more than one VM gets in a half-life. */
  private static final double MAX_PEER_WEIGHT = 200;

  private static final double MAX_LOG = Math.log(MAX_FACTOR);
  private static final double MIN_LOG = Math.log(MIN_FACTOR);

  private final Map<String, Evidence> own = new LruMap<>(MAX_KEPT);
  private final Map<String, Evidence> ofPeers = new HashMap<>();
  private final Map<String, PeerReports> peers = new HashMap<>();
  private final Map<String, RunningMean> usualByRoute = new LruMap<>(MAX_KEPT);
  private final Map<String, RunningMean> modelRatios = new LruMap<>(MAX_KEPT);
  private final Map<String, String> instances = new LruMap<>(MAX_KEPT);
  private long latestMs;

  /**
   * What one VM has measured at an endpoint.
   *
   * @param factor time that work takes, as a multiple of the mean of the service
   * @param weight number of measurements, of which older ones count less
   */
  public record Report(double factor, double weight) {
    private boolean plausible() {
      return factor > 0 && factor < Double.POSITIVE_INFINITY && weight > 0;
    }

    private double logFactor() {
      return clampLog(Math.log(factor));
    }

    private double boundedWeight() {
      return Math.min(MAX_PEER_WEIGHT, weight);
    }
  }

  private record PeerReport(Report report, long atMs) {}

  private record PeerReports(Map<String, PeerReport> reports, long untilMs) {}

  /** Weighted sum of logarithms of factors, which decays. */
  private static final class Evidence {
    private double weight;
    private double weightedLog;
    private long atMs;

    private void add(double addedWeight, double logFactor, long now) {
      double kept = decay(now - atMs);
      atMs = now;
      // A peer's report is subtracted when it is replaced; rounding must not leave less than 0.
      weight = Math.max(0, weight * kept + addedWeight);
      weightedLog = weight == 0 ? 0 : weightedLog * kept + addedWeight * logFactor;
    }
  }

  /** Mean of the latest values. */
  private static final class RunningMean {
    private double mean;
    private int count;

    private void add(double value, int window) {
      count = Math.min(window, count + 1);
      mean += (value - mean) / count;
    }

    private double shrunk(double priorWeight) {
      return mean * count / (count + priorWeight);
    }
  }

  private static double decay(long ageMs) {
    return Math.pow(0.5, Math.max(0, ageMs) / HALF_LIFE_MS);
  }

  private static double clampLog(double log) {
    return Math.max(MIN_LOG, Math.min(MAX_LOG, log));
  }

  /**
   * Records how long a piece of work has taken. Pieces of the same route have to be comparable, for
   * example the mean time between two events of a stream, or the time of a whole response.
   *
   * @param endpoint the endpoint
   * @param route name of the route
   * @param model name of the model, or an empty string
   * @param ms the time, in ms; ignored unless it is positive
   * @param now current time, in ms
   */
  public void record(Endpoint endpoint, String route, String model, double ms, long now) {
    if (!(ms > 0) || ms == Double.POSITIVE_INFINITY) {
      return;
    }
    forgetEarlierStart(endpoint);
    removeExpiredPeers(now);
    String service = endpoint.entry().service();
    RunningMean usual =
        usualByRoute.computeIfAbsent(service + '\0' + route, k -> new RunningMean());
    RunningMean ratio = modelRatios.computeIfAbsent(service + '\0' + model, k -> new RunningMean());
    double modelLog = model.isEmpty() ? 0 : ratio.shrunk(MODEL_PRIOR_WEIGHT);
    double log = Math.log(ms);
    if (usual.count >= MIN_ROUTE_MEASUREMENTS) {
      double compared = clampLog(log - usual.mean);
      own.computeIfAbsent(endpoint.id(), k -> new Evidence())
          .add(1, clampLog(compared - modelLog), now);
      ratio.add(compared - learnedLog(endpoint, now), MODEL_WINDOW);
    }
    usual.add(log - modelLog, ROUTE_WINDOW);
  }

  /** Another start of an endpoint may run on another machine: nothing is known of it. */
  private void forgetEarlierStart(Endpoint endpoint) {
    String id = endpoint.id();
    String instance = endpoint.instance();
    String before = instances.get(id);
    if (instance.equals(before)) {
      return;
    }
    instances.put(id, instance);
    if (before != null) {
      own.remove(id);
      ofPeers.remove(id);
      peers.values().forEach(p -> p.reports().remove(id));
    }
  }

  /**
   * Returns how long work takes at an endpoint now, by what has been measured and by the latest
   * figure that it has reported, whose weight decays.
   *
   * @param endpoint the endpoint
   * @param now current time, in ms
   * @return time that work takes, as a multiple of what is usual for its service, from {@link
   *     #MIN_FACTOR} to {@link #MAX_FACTOR}
   */
  public double factor(Endpoint endpoint, long now) {
    double log = learnedLog(endpoint, now);
    ReportedWorkTime reported = endpoint.reportedWorkTime();
    if (reported.factor() > 0) {
      double weight = Math.pow(0.5, Math.max(0, reported.ageMs(now)) / REPORTED_HALF_LIFE_MS);
      log += weight * (clampLog(Math.log(reported.factor())) - log);
    }
    return Math.exp(log);
  }

  /**
   * Returns how long work takes at an endpoint by what has been measured only, for decisions that
   * hold for longer than a reported figure.
   *
   * @param endpoint the endpoint
   * @param now current time, in ms
   * @return factor as in {@link #factor}
   */
  public double learnedFactor(Endpoint endpoint, long now) {
    return Math.exp(learnedLog(endpoint, now));
  }

  private double learnedLog(Endpoint endpoint, long now) {
    forgetEarlierStart(endpoint);
    removeExpiredPeers(now);
    double weight = PRIOR_WEIGHT;
    double weightedLog = 0;
    Evidence mine = own.get(endpoint.id());
    if (mine != null) {
      double kept = decay(now - mine.atMs);
      weight += mine.weight * kept;
      weightedLog += mine.weightedLog * kept;
    }
    Evidence others = ofPeers.get(endpoint.id());
    if (others != null) {
      double kept = decay(now - others.atMs);
      weight += others.weight * kept;
      weightedLog += others.weightedLog * kept;
    }
    return clampLog(weightedLog / weight);
  }

  /**
   * Returns what this VM has measured at the endpoints that it has got measurements of lately, for
   * sending to its peers. Each report covers all earlier measurements, so that a lost one is made
   * up for by the next.
   *
   * @param sinceMs time of the earliest measurement that the peers do not know, in ms
   * @param now current time, in ms
   * @return measurements by endpoint ID, at most {@value #MAX_REPORTS}
   */
  public Map<String, Report> ownReports(long sinceMs, long now) {
    removeExpiredPeers(now);
    Map<String, Report> reports = new HashMap<>();
    own.forEach(
        (id, e) -> {
          double weight = e.weight * decay(now - e.atMs);
          if (e.atMs >= sinceMs && weight >= MIN_REPORTED_WEIGHT) {
            reports.put(id, new Report(Math.exp(e.weightedLog / e.weight), weight));
          }
        });
    if (reports.size() <= MAX_REPORTS) {
      return reports;
    }
    List<Map.Entry<String, Report>> byWeight = new ArrayList<>(reports.entrySet());
    byWeight.sort(Comparator.comparingDouble(r -> -r.getValue().weight()));
    Map<String, Report> heaviest = new LinkedHashMap<>();
    byWeight.subList(0, MAX_REPORTS).forEach(r -> heaviest.put(r.getKey(), r.getValue()));
    return heaviest;
  }

  /**
   * Replaces the measurements of a peer at the endpoints that it reports; those at others continue
   * to decay. They decay from the time of the latest other call.
   *
   * @param peer ID of the peer process
   * @param reports measurements by endpoint ID; implausible ones are ignored
   * @param untilMs expiry time of all measurements of the peer, in ms
   */
  public void updateFromPeer(String peer, Map<String, Report> reports, long untilMs) {
    // Requests and digests make other calls several times per second.
    long now = latestMs;
    PeerReports known = peers.get(peer);
    if (known == null && reports.isEmpty()) {
      return;
    }
    Map<String, PeerReport> kept = known == null ? new LinkedHashMap<>() : known.reports();
    reports.forEach(
        (id, r) -> {
          subtract(id, kept.remove(id), now);
          if (r.plausible()) {
            kept.put(id, new PeerReport(r, now));
            ofPeers
                .computeIfAbsent(id, k -> new Evidence())
                .add(r.boundedWeight(), r.logFactor(), now);
          }
        });
    removeOldest(kept, now);
    peers.put(peer, new PeerReports(kept, untilMs));
  }

  /** Removes the reports that arrived first, beyond the number that is kept of a peer. */
  private void removeOldest(Map<String, PeerReport> kept, long now) {
    Iterator<Map.Entry<String, PeerReport>> oldest = kept.entrySet().iterator();
    while (kept.size() > MAX_KEPT_OF_PEER) {
      Map.Entry<String, PeerReport> e = oldest.next();
      subtract(e.getKey(), e.getValue(), now);
      oldest.remove();
    }
  }

  private void subtract(String id, PeerReport previous, long now) {
    Evidence sum = ofPeers.get(id);
    if (sum != null && previous != null) {
      Report r = previous.report();
      sum.add(-r.boundedWeight() * decay(now - previous.atMs()), r.logFactor(), now);
    }
  }

  private void removeExpiredPeers(long now) {
    if (now == latestMs) {
      return;
    }
    latestMs = now;
    boolean expired =
        peers
            .values()
            .removeIf(
                p -> {
                  boolean over = now > p.untilMs();
                  if (over) {
                    p.reports().forEach((id, r) -> subtract(id, r, now));
                  }
                  return over;
                });
    if (expired) {
      removeUnreported();
    }
  }

  /** Removes the sums of endpoints that no peer reports any more. */
  private void removeUnreported() {
    HashSet<String> reported = new HashSet<>();
    peers.values().forEach(p -> reported.addAll(p.reports().keySet()));
    ofPeers.keySet().retainAll(reported);
  }
}
