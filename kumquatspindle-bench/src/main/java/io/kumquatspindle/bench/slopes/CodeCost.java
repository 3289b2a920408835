package io.kumquatspindle.bench.slopes;

/**
 * Cost of decision code at one size, without processes and network.
 *
 * @param name what was measured
 * @param size number of units that the state holds
 * @param unit what the size counts
 * @param heapBytes heap that the state takes
 * @param encodedBytes bytes of the state, or of the message, as it is sent
 * @param micros processor time for each further record, in microseconds
 */
record CodeCost(
    String name, int size, String unit, long heapBytes, long encodedBytes, double micros) {}
