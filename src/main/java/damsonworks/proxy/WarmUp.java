package damsonworks.proxy;

import damsonworks.RoutingApi.ListKind;
import damsonworks.RoutingApi.Member;
import damsonworks.RoutingApi.ServiceClass;
import damsonworks.RoutingApi.Settings;
import damsonworks.RoutingApi.State;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Takes some requests through the proxy's own code, without a socket, before there are clients. Guards the first
 * seconds after a start: on part of a core a JVM that still interprets can't keep up with the usual load, and
 * what it is late with comes again. It delays a start by {@link #SPAN_MS} at most, which is time in which a
 * restarted proxy serves nobody.
 */
final class WarmUp {
    private static final double SPAN_MS = 700;
    private static final int ROUNDS = 1500;
    private static final int CACHES = 8;
    private static final int ORIGIN = CACHES + 1;
    private static final String VALUE = "x".repeat(1024);

    private final Config config;
    private final Dispatcher dispatcher;
    private final List<EmbeddedChannel> upstream = new ArrayList<>();

    WarmUp(EventLoop loop, Config config) {
        this.config = config;
        dispatcher = new Dispatcher(loop, config, this::dial);
    }

    private ChannelFuture dial(InetSocketAddress to, ChannelHandler... handlers) {
        EmbeddedChannel channel = new EmbeddedChannel(handlers);
        upstream.add(channel);
        return channel.newSucceededFuture();
    }

    /** On the event loop. Nothing of it is left but compiled code. */
    void run() {
        dispatcher.start(null, null, client -> { });
        dispatcher.listed(ListKind.CHANGES, hosts());
        double end = dispatcher.now() + SPAN_MS;
        EmbeddedChannel client = null;
        for (int i = 0; i < ROUNDS && dispatcher.now() < end; i++) {
            if (client == null || i % 8 == 0) {
                close(client);
                client = new EmbeddedChannel(new ClientConnection(dispatcher, ClientConnection.OPEN_HOUSE));
            }
            request(client, i);
        }
        close(client);
        upstream.forEach(WarmUp::close);
        dispatcher.stop();
    }

    private List<DiscoveryClient.Host> hosts() {
        Settings settings = config.settings();
        int cacheKind = settings.originKind() == 0 && settings.kinds() > 1 ? 1 : 0;
        List<DiscoveryClient.Host> hosts = new ArrayList<>();
        for (int id = 1; id <= (settings.aside() ? ORIGIN : CACHES); id++) {
            int kind = id == ORIGIN ? settings.originKind() : cacheKind;
            hosts.add(new DiscoveryClient.Host(new Member(id, 0, kind, 0, State.READY, 1, 0), config.listen()));
        }
        return hosts;
    }

    private void request(EmbeddedChannel client, int i) {
        List<ServiceClass> classes = config.settings().classes();
        boolean write = i % 16 == 15;
        String tenant = config.settings().tenants().isEmpty() ? "t" : config.settings().tenants().get(0).name();
        String flags = " Owarm" + i + " Pc=" + classes.get(i % classes.size()).name() + ",t=" + tenant + ",d=1000,k=1\r\n";
        String key = Integer.toHexString(i * 7919 + 1);
        client.writeInbound(buffer(write ? "ms " + key + " 5" + flags + "value\r\n" : "mg " + key + " v" + flags));
        for (int round = 0; round < 3; round++) { // a cache node, the origin, and one more try
            for (int u = 0; u < upstream.size(); u++) {
                answer(upstream.get(u), i);
            }
        }
        drop(client);
    }

    private static void answer(EmbeddedChannel channel, int i) {
        StringBuilder asked = new StringBuilder();
        for (ByteBuf sent; (sent = channel.readOutbound()) != null; sent.release()) {
            asked.append(sent.toString(StandardCharsets.ISO_8859_1));
        }
        if (asked.length() == 0 || !channel.isActive()) {
            return;
        }
        String good;
        if (asked.indexOf("HTTP/1.1") > 0) {
            boolean put = asked.charAt(0) == 'P';
            good = "HTTP/1.1 200 OK\r\nContent-Length: " + (put ? "4\r\n\r\nwarm" : VALUE.length() + "\r\n\r\n" + VALUE);
        } else {
            String id = MetaCodec.wordAt(asked.toString(), asked.indexOf(" O") + 1);
            good = asked.charAt(1) == 's' ? "HD " + id + " cwarm\r\n" : i % 4 == 0 ? "EN " + id + " h0\r\n"
                    : "VA " + VALUE.length() + " " + id + " h1\r\n" + VALUE + "\r\n";
        }
        channel.writeInbound(buffer(good));
    }

    private static ByteBuf buffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static void drop(EmbeddedChannel channel) {
        for (ByteBuf sent; (sent = channel.readOutbound()) != null;) {
            sent.release();
        }
    }

    private static void close(EmbeddedChannel channel) {
        if (channel != null) {
            drop(channel);
            channel.finishAndReleaseAll();
        }
    }
}
