package io.kumquatspindle.bench.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Generates a seeded workload: a steady stream of requests with Zipf-distributed artifacts, and
 * bursts of cold requests for rarely used models at all VMs at once.
 */
final class Workload {
  static final int CUSTOMERS = 5;

  /** Factor by which the greedy customer exceeds its rate. */
  static final int GREEDY_FACTOR = 4;

  private static final double[] CUSTOMER_SHARES = {0.40, 0.25, 0.20, 0.10, 0.05};
  private static final double STEADY_PER_SECOND = 8;
  private static final double ZIPF_EXPONENT = 1.1;
  private static final int BURSTS = 4;
  private static final int MODELS_PER_BURST = 3;
  private static final int BURST_SPREAD_MS = 200;
  private static final int MAX_TOKENS = 16;
  private static final double RATE_HEADROOM = 1.7;
  private static final double BURST_SECONDS = 4;

  private final Deployment deployment;
  private final long seconds;
  private final Random random;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final double[] cumulativePopularity;

  private Workload(Deployment deployment, long seconds, long seed) {
    this.deployment = deployment;
    this.seconds = seconds;
    this.random = new Random(seed);
    this.cumulativePopularity = cumulativePopularity(deployment.models() + deployment.adapters());
  }

  /** Returns the arrivals of a run, ordered by time. */
  static List<Arrival> generate(Deployment d, long seconds, long seed, Fault fault) {
    Workload workload = new Workload(d, seconds, seed);
    workload.addSteadyRequests();
    workload.addColdBursts();
    if (fault == Fault.GREEDY_CUSTOMER) {
      workload.addGreedyCustomer();
    }
    workload.arrivals.sort(Comparator.comparingLong(Arrival::timeMs));
    return List.copyOf(workload.arrivals);
  }

  /** Returns the rate of a customer over all VMs, in tokens per second. */
  static long tokensPerSecond(int customer) {
    double mean = STEADY_PER_SECOND * CUSTOMER_SHARES[customer] * meanTokens();
    return Math.max(1, Math.round(mean * RATE_HEADROOM));
  }

  /** Returns the burst of a customer over all VMs, in tokens. */
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

  private void addSteadyRequests() {
    double timeMs = 0;
    while (true) {
      timeMs += -Math.log(1 - random.nextDouble()) / STEADY_PER_SECOND * 1_000;
      if (timeMs >= seconds * 1_000) {
        return;
      }
      add((long) timeMs, random.nextInt(deployment.vms()), randomCustomer(), randomArtifact());
    }
  }

  // The models of a burst are the least popular ones, so that they are cold.
  private void addColdBursts() {
    for (int b = 0; b < BURSTS; b++) {
      long startMs = (2 * b + 1) * seconds * 1_000 / (2 * BURSTS);
      for (int m = 0; m < MODELS_PER_BURST; m++) {
        int index = deployment.models() - 1 - (b * MODELS_PER_BURST + m);
        int customer = randomCustomer();
        for (int vm = 0; vm < deployment.vms(); vm++) {
          add(startMs + random.nextInt(BURST_SPREAD_MS), vm, customer, modelName(index));
        }
      }
    }
  }

  private void addGreedyCustomer() {
    int customer = 1;
    double requestsPerMs = GREEDY_FACTOR * tokensPerSecond(customer) / meanTokens() / 1_000;
    for (double timeMs = 0; timeMs < seconds * 1_000; timeMs += 1 / requestsPerMs) {
      add((long) timeMs, random.nextInt(deployment.vms()), customer, modelName(0));
    }
  }

  private void add(long timeMs, int vm, int customer, String artifact) {
    String prompt = "closure notice for road " + arrivals.size() + " at " + timeMs;
    arrivals.add(new Arrival(timeMs, vm, customer, artifact, prompt, MAX_TOKENS));
  }

  private int randomCustomer() {
    double x = random.nextDouble();
    int c = 0;
    while (c < CUSTOMERS - 1 && x >= CUSTOMER_SHARES[c]) {
      x -= CUSTOMER_SHARES[c];
      c++;
    }
    return c;
  }

  private String randomArtifact() {
    double x = random.nextDouble() * cumulativePopularity[cumulativePopularity.length - 1];
    int i = 0;
    while (cumulativePopularity[i] < x) {
      i++;
    }
    // Models and adapters alternate in the order of popularity.
    int rank = i / 2;
    boolean model = i % 2 == 0 ? rank < deployment.models() : rank >= deployment.adapters();
    int index = model ? Math.min(rank, deployment.models() - 1) : rank;
    return model ? modelName(index) : adapterName(Math.min(index, deployment.adapters() - 1));
  }

  private static double[] cumulativePopularity(int size) {
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
