package io.kumquatspindle.bench.measure;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The figures of one run.
 *
 * @param policy the policy
 * @param requests requests sent
 * @param whole requests that got their whole answer
 * @param errors number of refusals and errors by code
 * @param coldStarts requests that were sent while no engine held their artifact
 * @param coldP50Ms median time to the first token of those, in milliseconds
 * @param coldP95Ms the same, 95th percentile
 * @param coldP99Ms the same, 99th percentile
 * @param coldRatioP99 99th percentile over that of the lower bound
 * @param idleHours idle accelerator hours
 * @param idleRatio idle accelerator hours over those of a policy that knows the arrivals ahead
 * @param loads loads that engines carried out
 * @param memoryOvercommits loads that did not fit
 * @param quota how customers fared
 */
record RunFigures(
    Policy policy,
    int requests,
    int whole,
    Map<String, Integer> errors,
    int coldStarts,
    long coldP50Ms,
    long coldP95Ms,
    long coldP99Ms,
    double coldRatioP99,
    double idleHours,
    double idleRatio,
    int loads,
    int memoryOvercommits,
    QuotaFigures quota) {

  static RunFigures of(Policy policy, Deployment d, List<Served> served, EngineHistories engines) {
    ColdStarts cold = ColdStarts.of(served, engines, a -> transferMs(d, a));
    double idle = IdleHours.measured(served, engines, a -> DeploymentTickets.memoryMb(d, a));
    double least =
        IdleHours.withForeknowledge(
            served, a -> DeploymentTickets.memoryMb(d, a), a -> transferMs(d, a));
    Map<String, Integer> errors = new TreeMap<>();
    int whole = 0;
    for (Served s : served) {
      whole += s.complete() ? 1 : 0;
      s.errorCode().ifPresent(code -> errors.merge(code, 1, Integer::sum));
    }
    return new RunFigures(
        policy,
        served.size(),
        whole,
        errors,
        cold.count(),
        cold.percentile(50),
        cold.percentile(95),
        cold.percentile(99),
        cold.ratioAt(99),
        idle,
        least == 0 ? Double.NaN : idle / least,
        engines.loads(),
        engines.violations(),
        QuotaFigures.of(served));
  }

  private static long transferMs(Deployment d, String artifact) {
    long mb = DeploymentTickets.memoryMb(d, artifact);
    return artifact.startsWith("model-")
        ? mb * 1_000 / Deployment.STORE_MB_PER_SECOND
        : d.adapterLoadMinMs();
  }
}
