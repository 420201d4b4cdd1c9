package damsonworks.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The rehearsal before the first client: what it uses, what it leaves, and how long it may take. */
@Timeout(60)
class WarmUpTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    @TempDir
    Path folder;

    /** Bytes of both ends share one socket, and each end gets the other's, however they are cut. */
    @Test
    void aMirrorHandsEachEndWhatTheOtherWrote() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            ConcurrentLinkedQueue<String> far = new ConcurrentLinkedQueue<>();
            StringBuffer near = new StringBuffer();
            Mirror mirror = new Mirror((m, text) -> far.add(text));
            loop.submit(() -> Mirror.open(loop, ByteBufAllocator.DEFAULT, new InetSocketAddress(LOOPBACK, 0), mirror,
                    new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext ctx, Object message) {
                            ByteBuf in = (ByteBuf) message;
                            near.append(in.toString(StandardCharsets.ISO_8859_1));
                            in.release();
                            ctx.writeAndFlush(Unpooled.copiedBuffer("answer " + near.length(), StandardCharsets.US_ASCII));
                        }
                    })).syncUninterruptibly().getNow().sync();
            String asked = "a".repeat(100_000);
            loop.submit(() -> {
                mirror.say("one");
                mirror.say(asked);
            }).sync();
            Stage.await(() -> far.contains("answer " + (3 + asked.length())));
            assertThat(near.toString()).isEqualTo("one" + asked);
            assertThat(far).contains("answer 3").allMatch(t -> t.startsWith("answer "));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    /** Nothing of the rehearsal is held once the proxy serves, and it has asked of every kind. */
    @Test
    void aRehearsalEndsByItselfAndLeavesNoDescriptor() throws Exception {
        try (Stage stage = new Stage()) {
            Program program = stage.keep(new Program(folder, stage.config(stage.quietDiscovery().address(),
                    Stage.cache("s-1", stage.fullCache())), 0, "damsonworks.Main", "serve"));
            Stage.serves(stage.keep(program.connect()), "first");
            assertThat(program.log()).anyMatch(l -> l.matches(".*warm-up: [1-9]\\d{2,} requests in \\d+ ms.*"));
            assertThat(program.log()).noneMatch(l -> l.contains("fault") || l.contains("order for"));
            Stage.await(() -> {
                try {
                    return program.sockets() <= 6; // listener, client, node, discovery, the peers' and one to spare
                } catch (java.io.IOException e) {
                    throw new IllegalStateException(e);
                }
            });
        }
    }

    /** Where another serves it goes after its short span, and where none answers it takes as long as it needs. */
    @Test
    void aProxyThatStartsAsksWhoServesAndAnswersOnceItDoes() throws Exception {
        try (Stage stage = new Stage(); DatagramSocket other = new DatagramSocket(0, LOOPBACK);
                DatagramSocket free = new DatagramSocket(0, LOOPBACK)) {
            other.setSoTimeout(20_000);
            int own = free.getLocalPort();
            free.close();
            String config = stage.config(stage.quietDiscovery().address(), Stage.cache("s-1", stage.fullCache()))
                    .replace("\"peers\":false", "\"peers\":true")
                    .replace("\"known\":", "\"peer_listen\":\"127.0.0.1:" + own + "\",\"peers\":[\"127.0.0.1:" + own
                            + "\",\"127.0.0.1:" + other.getLocalPort() + "\"],\"known\":");
            Thread peer = new Thread(() -> {
                try {
                    DatagramPacket asked = new DatagramPacket(new byte[256], 256);
                    other.receive(asked);
                    other.send(new DatagramPacket(new byte[] {(byte) 0xC1, '!'}, 2, asked.getSocketAddress()));
                } catch (java.io.IOException e) {
                    // the test has ended
                }
            });
            peer.start();
            long start = System.nanoTime();
            Proxy proxy = Proxy.start(Config.parse(JsonParser.parseString(config).getAsJsonObject()));
            stage.keep(proxy::close);
            peer.join();
            assertThat(System.nanoTime() - start).isLessThan(3_000_000_000L);
            other.send(new DatagramPacket(new byte[] {(byte) 0xC1, '?'}, 2, LOOPBACK, own));
            List<Byte> answer = new java.util.ArrayList<>();
            while (!answer.equals(List.of((byte) 0xC1, (byte) '!'))) { // what it asked itself may come first
                DatagramPacket in = new DatagramPacket(new byte[256], 256);
                other.receive(in);
                answer = List.of(in.getData()[0], in.getData()[1]);
            }
        }
    }
}
