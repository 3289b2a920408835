package io.kumquatspindle.bench.slopes;

/**
 * Size and load of a run.
 *
 * @param vms the number of control processes, distributed evenly over the failure domains
 * @param domains the number of failure domains
 * @param artifacts the number of models and adapters in the configuration
 * @param endpoints the number of endpoints in the configuration
 * @param loadsPerSecond the number of models requested per second
 * @param changesPerMinute the number of tickets filed per minute
 */
record RunParameters(
    int vms,
    int domains,
    int artifacts,
    int endpoints,
    double loadsPerSecond,
    double changesPerMinute) {

  RunParameters withVms(int n) {
    return new RunParameters(n, domains, artifacts, endpoints, loadsPerSecond, changesPerMinute);
  }

  RunParameters withDomains(int n) {
    return new RunParameters(vms, n, artifacts, endpoints, loadsPerSecond, changesPerMinute);
  }

  RunParameters withArtifacts(int n) {
    return new RunParameters(vms, domains, n, endpoints, loadsPerSecond, changesPerMinute);
  }

  RunParameters withEndpoints(int n) {
    return new RunParameters(vms, domains, artifacts, n, loadsPerSecond, changesPerMinute);
  }

  RunParameters withLoads(double rate) {
    return new RunParameters(vms, domains, artifacts, endpoints, rate, changesPerMinute);
  }

  RunParameters withChanges(double rate) {
    return new RunParameters(vms, domains, artifacts, endpoints, loadsPerSecond, rate);
  }
}
