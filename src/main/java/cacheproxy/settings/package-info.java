/**
 * The operator's own file: read, checked as a whole, and handed on as plain records. Uses no other
 * package.
 */
package cacheproxy.settings;
