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
record Row(
    int vms,
    int domains,
    int artifacts,
    int endpoints,
    double loadsPerSecond,
    double changesPerMinute) {

  Row withVms(int n) {
    return new Row(n, domains, artifacts, endpoints, loadsPerSecond, changesPerMinute);
  }

  Row withDomains(int n) {
    return new Row(vms, n, artifacts, endpoints, loadsPerSecond, changesPerMinute);
  }

  Row withArtifacts(int n) {
    return new Row(vms, domains, n, endpoints, loadsPerSecond, changesPerMinute);
  }

  Row withEndpoints(int n) {
    return new Row(vms, domains, artifacts, n, loadsPerSecond, changesPerMinute);
  }

  Row withLoads(double rate) {
    return new Row(vms, domains, artifacts, endpoints, rate, changesPerMinute);
  }

  Row withChanges(double rate) {
    return new Row(vms, domains, artifacts, endpoints, loadsPerSecond, rate);
  }
}
