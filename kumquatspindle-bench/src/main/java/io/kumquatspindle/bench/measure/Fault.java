package io.kumquatspindle.bench.measure;

/**
 * Faults that can be injected into a run. Unless noted otherwise, a fault lasts from one quarter to
 * three quarters of the run.
 */
enum Fault {
  /** No fault. */
  NONE,
  /** One failure domain is disconnected from the other ones and from the platform. */
  DOMAIN_CUT,
  /** The log service responds to every request with an error. */
  LOG_OUT,
  /** The weight store runs at a third of its normal speed. */
  SLOW_STORE,
  /** One customer sends requests at four times its rate, during the whole run. */
  GREEDY_CUSTOMER
}
