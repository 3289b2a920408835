package io.kumquatspindle.bench.measure;

/** Faults that a run may be made under, from a quarter to three quarters of its time. */
enum Fault {
  /** No fault. */
  NONE,
  /** One failure domain is cut off from the others and from the platform. */
  DOMAIN_CUT,
  /** The log answers nothing but errors. */
  LOG_OUT,
  /** The weight store runs at a third of its speed. */
  SLOW_STORE,
  /** One customer sends four times its rate, during the whole run. */
  GREEDY_CUSTOMER
}
