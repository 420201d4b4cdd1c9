package cacheproxy.load;

/**
 * A request of the plan.
 *
 * @param number sequence number from 0, in the order in which requests are due
 * @param atMs time at which the request is due, in milliseconds from the start of the load
 * @param classIndex index of the request's class
 * @param target index of the target address
 * @param valueBytes size of the value of a write, otherwise 0
 */
public record PlannedRequest(
    long number, double atMs, int classIndex, String key, int target, int valueBytes) {}
