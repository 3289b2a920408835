package io.kumquatspindle.bench.slopes;

/**
 * Size and load of one run.
 *
 * @param vms number of control processes, dealt evenly to the failure domains
 * @param domains number of failure domains
 * @param artifacts models and adapters of the configuration
 * @param endpoints endpoints of the configuration
 * @param loadsPerSecond models that are asked for each second
 * @param changesPerMinute tickets filed each minute
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
