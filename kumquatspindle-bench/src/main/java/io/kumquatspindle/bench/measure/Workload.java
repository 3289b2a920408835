package io.kumquatspindle.bench.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * A seeded workload: steady requests for popular artifacts, and bursts of first requests for rarely
 * used models at all VMs at once.
 */
final class Workload {
  /** Number of customers. */
  static final int CUSTOMERS = 5;

  /** Times its rate that the greedy customer sends. */
  static final int GREEDY_FACTOR = 4;

  private static final double[] CUSTOMER_PARTS = {0.40, 0.25, 0.20, 0.10, 0.05};
  private static final double STEADY_PER_SECOND = 8;
  private static final double ZIPF_EXPONENT = 1.1;
  private static final int BURSTS = 4;
  private static final int MODELS_PER_BURST = 3;
  private static final int BURST_SPREAD_MS = 200;
  private static final int MAX_TOKENS = 16;
  private static final double HEADROOM = 1.7;
  private static final double BURST_SECONDS = 4;

  private final Deployment deployment;
  private final long seconds;
  private final Random random;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final double[] popularity;

  private Workload(Deployment deployment, long seconds, long seed) {
    this.deployment = deployment;
    this.seconds = seconds;
    this.random = new Random(seed);
    this.popularity = popularity(deployment.models() + deployment.adapters());
  }

  /** Returns the arrivals of a run in order of time. */
  static List<Arrival> generate(Deployment d, long seconds, long seed, Fault fault) {
    Workload w = new Workload(d, seconds, seed);
    w.steady();
    w.bursts();
    if (fault == Fault.GREEDY_CUSTOMER) {
      w.greedy();
    }
    w.arrivals.sort(Comparator.comparingLong(Arrival::timeMs));
    return List.copyOf(w.arrivals);
  }

  /** Returns a customer's rate over all VMs, in tokens a second. */
  static long tokensPerSecond(int customer) {
    double mean = STEADY_PER_SECOND * CUSTOMER_PARTS[customer] * meanTokens();
    return Math.max(1, Math.round(mean * HEADROOM));
  }

  /** Returns a customer's burst over all VMs, in tokens. */
  static long burstTokens(int customer) {
    long bursts = Math.round(tokensPerSecond(customer) * BURST_SECONDS);
    return Math.max(bursts, 20L * Math.round(meanTokens()));
  }

  static String modelName(int index) {
    return "model-" + index;
  }

  static String adapterName(int index) {
    return "adapter-" + index;
  }

  private void steady() {
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / STEADY_PER_SECOND * 1_000;
      if (at >= seconds * 1_000) {
        return;
      }
      add((long) at, random.nextInt(deployment.vms()), customer(), artifact());
    }
  }

  // The models of a burst come from the rare end of the list, so that they are cold.
  private void bursts() {
    for (int b = 0; b < BURSTS; b++) {
      long at = (2 * b + 1) * seconds * 1_000 / (2 * BURSTS);
      for (int m = 0; m < MODELS_PER_BURST; m++) {
        int index = deployment.models() - 1 - (b * MODELS_PER_BURST + m);
        int customer = customer();
        for (int vm = 0; vm < deployment.vms(); vm++) {
          add(at + random.nextInt(BURST_SPREAD_MS), vm, customer, modelName(index));
        }
      }
    }
  }

  private void greedy() {
    int customer = 1;
    double perMs = GREEDY_FACTOR * tokensPerSecond(customer) / meanTokens() / 1_000;
    for (double at = 0; at < seconds * 1_000; at += 1 / perMs) {
      add((long) at, random.nextInt(deployment.vms()), customer, modelName(0));
    }
  }

  private void add(long at, int vm, int customer, String artifact) {
    String prompt = "closure notice for road " + arrivals.size() + " at " + at;
    arrivals.add(new Arrival(at, vm, customer, artifact, prompt, MAX_TOKENS));
  }

  private int customer() {
    double x = random.nextDouble();
    int c = 0;
    while (c < CUSTOMERS - 1 && x >= CUSTOMER_PARTS[c]) {
      x -= CUSTOMER_PARTS[c];
      c++;
    }
    return c;
  }

  private String artifact() {
    double x = random.nextDouble() * popularity[popularity.length - 1];
    int i = 0;
    while (popularity[i] < x) {
      i++;
    }
    // Models and adapters take turns in the order of popularity.
    int rank = i / 2;
    boolean model = i % 2 == 0 ? rank < deployment.models() : rank >= deployment.adapters();
    int index = model ? Math.min(rank, deployment.models() - 1) : rank;
    return model ? modelName(index) : adapterName(Math.min(index, deployment.adapters() - 1));
  }

  private static double[] popularity(int size) {
    double[] cumulative = new double[size];
    double sum = 0;
    for (int i = 0; i < size; i++) {
      sum += 1 / Math.pow(i + 1, ZIPF_EXPONENT);
      cumulative[i] = sum;
    }
    return cumulative;
  }

  private static double meanTokens() {
    return MAX_TOKENS + 10;
  }
}
