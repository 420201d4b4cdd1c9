/**
 * Who may hold how much, and who has to go when there is not enough: bounds, rates and their order,
 * as rules in virtual time without I/O, threads or a clock. {@code proxy} carries out what they
 * decide.
 */
package cacheproxy.limits;
