package io.kumquatspindle.bench.slopes;

/**
 * Cost of decision code at one size, measured in-process without network.
 *
 * @param name the name of the measurement
 * @param size the number of units in the state
 * @param unit the unit of the size
 * @param heapBytes the heap memory used by the state
 * @param encodedBytes the encoded size of the state or message
 * @param micros the CPU time per additional record, in microseconds
 */
record CodeCost(
    String name, int size, String unit, long heapBytes, long encodedBytes, double micros) {}
