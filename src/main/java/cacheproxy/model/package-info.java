/**
 * The rules in virtual time, against models of what they meet: no sockets, no clock; the same seed
 * plays the same.
 */
package cacheproxy.model;
