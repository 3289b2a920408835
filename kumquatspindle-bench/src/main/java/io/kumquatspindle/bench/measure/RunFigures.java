package io.kumquatspindle.bench.measure;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Results of one run.
 *
 * @param policy the policy
 * @param requests the number of requests sent
 * @param whole the number of requests with a complete response
 * @param errors the number of errors by code
 * @param coldStarts the number of requests sent while no engine held their artifact
 * @param coldP50Ms the median time to the first token of cold starts, in milliseconds
 * @param coldP95Ms the 95th percentile of that time
 * @param coldP99Ms the 99th percentile of that time
 * @param coldRatioP99 the ratio of the 99th percentile to that of the lower bound
 * @param idleHours the idle accelerator hours
 * @param idleRatio the ratio of the idle accelerator hours to those of the clairvoyant policy
 * @param loads the number of loads that engines performed
 * @param memoryOvercommits the number of loads that exceeded the memory of the engine
 * @param quota the accuracy of quota enforcement
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

  static RunFigures of(
      Policy policy, Deployment d, List<RequestOutcome> outcomes, EngineHistories engines) {
    ColdStarts cold = ColdStarts.of(outcomes, engines, a -> transferMs(d, a));
    double idle = IdleHours.measured(outcomes, engines, a -> DeploymentTickets.memoryMb(d, a));
    double clairvoyantIdle =
        IdleHours.clairvoyant(
            outcomes, a -> DeploymentTickets.memoryMb(d, a), a -> transferMs(d, a));
    Map<String, Integer> errors = new TreeMap<>();
    int completed = 0;
    for (RequestOutcome outcome : outcomes) {
      completed += outcome.complete() ? 1 : 0;
      outcome.errorCode().ifPresent(code -> errors.merge(code, 1, Integer::sum));
    }
    return new RunFigures(
        policy,
        outcomes.size(),
        completed,
        errors,
        cold.count(),
        cold.percentile(50),
        cold.percentile(95),
        cold.percentile(99),
        cold.ratioAt(99),
        idle,
        clairvoyantIdle == 0 ? Double.NaN : idle / clairvoyantIdle,
        engines.loads(),
        engines.memoryOvercommits(),
        QuotaFigures.of(outcomes));
  }

  private static long transferMs(Deployment d, String artifact) {
    long mb = DeploymentTickets.memoryMb(d, artifact);
    return artifact.startsWith("model-")
        ? mb * 1_000 / Deployment.STORE_MB_PER_SECOND
        : d.adapterLoadMinMs();
  }
}
