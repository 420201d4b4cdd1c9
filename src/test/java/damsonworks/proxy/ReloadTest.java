package damsonworks.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program itself: what it does with its configuration at the start and on signals. */
class ReloadTest {
    @TempDir
    Path folder;

    private Process serve(Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "damsonworks.Main", "serve");
        builder.environment().put("BALANCER_CONFIG", config.toString());
        return builder.redirectError(folder.resolve("log").toFile()).start();
    }

    private static void signal(Process process, String name) throws Exception {
        assertThat(new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor()).isZero();
    }

    private List<String> log() throws IOException {
        return Files.readAllLines(folder.resolve("log"));
    }

    @Test
    void anUnusableConfigurationIsOneLineAndExitCode2() throws Exception {
        Path config = folder.resolve("config.json");
        try (Stage stage = new Stage()) {
            String good = stage.config("127.0.0.1:1");
            for (String bad : List.of("{\n\"name\": [", good.replace("\"sockets\":256", "\"sockets\":-5"),
                    good.replace("\"classes\":[", "\"classes\":[],\"others\":["),
                    good.replace("127.0.0.1:1\"", "nowhere\""))) {
                Files.writeString(config, bad);
                Process process = serve(config);
                assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
                assertThat(process.exitValue()).as(bad).isEqualTo(2);
                assertThat(log()).as(bad).hasSize(1);
            }
        }
    }

    /** The inherited program ended on SIGHUP, with everything it held. */
    @Test
    void sighupMovesDiscoveryAndLosesNoRequest() throws Exception {
        try (Stage stage = new Stage()) {
            Peer old = stage.quietDiscovery();
            Peer next = stage.quietDiscovery();
            Object gate = new Object();
            boolean[] go = new boolean[1];
            Peer cache = stage.peer(line -> {
                for (String text; (text = line.read()) != null;) {
                    synchronized (gate) {
                        while (!go[0]) {
                            gate.wait();
                        }
                    }
                    line.write("VA 2 O" + Stage.id(text) + "\r\nhi\r\n");
                }
            });
            int port;
            try (ServerSocket free = new ServerSocket(0)) {
                port = free.getLocalPort();
            }
            Path config = folder.resolve("config.json");
            String hosts = Stage.cache("s-1", cache);
            Files.writeString(config, stage.config(old.address(), hosts).replace("127.0.0.1:0", "127.0.0.1:" + port));
            Process process = serve(config);
            stage.keep(process::destroyForcibly);
            Stage.await(() -> !old.heard.isEmpty());
            Peer.Line client = stage.keep(connect(port));
            client.write(Stage.read("a", "1"));
            Stage.await(() -> !cache.heard.isEmpty());

            Files.writeString(config, "no configuration at all");
            signal(process, "HUP");
            Stage.await(() -> logHas("going on with the old one"));
            Files.writeString(config, stage.config(next.address(), hosts).replace("127.0.0.1:0", "127.0.0.1:" + port));
            signal(process, "HUP");
            Stage.await(() -> next.heard.stream().anyMatch(l -> l.contains("since=1")));
            Stage.await(() -> old.open() == 0 || closed(old));
            synchronized (gate) {
                go[0] = true;
                gate.notifyAll();
            }
            assertThat(client.read()).isEqualTo("VA 2 O1");
            assertThat(client.read()).isEqualTo("hi");
            assertThat(process.isAlive()).isTrue();

            signal(process, "TERM");
            assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            assertThat(client.read()).isNull();
        }
    }

    /** Whether all of the peer's connections have ended, as a read of them shows. */
    private static boolean closed(Peer peer) {
        for (Peer.Line line : peer.lines) {
            try {
                line.socket.setSoTimeout(50);
                if (line.socket.getInputStream().read() >= 0) {
                    return false;
                }
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                // ended by a reset
            }
        }
        return true;
    }

    private boolean logHas(String text) {
        try {
            return log().stream().anyMatch(l -> l.contains(text));
        } catch (IOException e) {
            return false;
        }
    }

    private static Peer.Line connect(int port) throws Exception {
        return new Peer.Line(new Socket("127.0.0.1", port), new ConcurrentLinkedQueue<>());
    }
}
