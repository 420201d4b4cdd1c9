/**
 * A stand-in site for real proxies on loopback. Rules: {@link damsonworks.site.Station}, {@link
 * damsonworks.site.Shelf}, {@link damsonworks.site.Roster}, {@link damsonworks.site.ColdGuard}, and
 * the {@link damsonworks.site.Ledger} that judges by what ran. Sockets: {@link
 * damsonworks.site.Site} and its fronts. Nothing here is loaded by {@code serve}.
 */
package damsonworks.site;
