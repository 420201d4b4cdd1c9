/**
 * What fits on the proxy's own part of a processor: rules alone, told of the loop's rounds and of
 * what is read. Who is turned away where not all fit is the decision module's word;
 * docs/design-overload.md says why these rules.
 */
package cacheproxy.overload;
