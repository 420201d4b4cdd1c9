/**
 * An open-loop load generator for the clients' protocol. Rules: what is asked when ({@link
 * damsonworks.load.Plan}), when a client comes again ({@link damsonworks.load.Patience}), what it
 * came to ({@link damsonworks.load.Tally}). Sockets: {@link damsonworks.load.Generator}. Nothing
 * here is loaded by {@code serve}.
 */
package damsonworks.load;
