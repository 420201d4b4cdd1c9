package damsonworks.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** deploy/serve.sh where no other program can be started: {@code PATH} holds a stand-in for java and nothing else. */
class ServeScriptTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            {"limits":{"cores":1.0,"memory_mb":192,"sockets":4}} | -Xmx32m -XX:MaxDirectMemorySize=48m
            {"limits":{"memory_mb" : 96}}                        | -Xmx32m -XX:MaxDirectMemorySize=24m
            {"limits":{"memory_mb":95}}                          | -Xmx20m -XX:MaxDirectMemorySize=10m
            {"limits":{"memory_mb":64}}                          | -Xmx20m -XX:MaxDirectMemorySize=10m
            {"limits":{"memory_mb":63}}                          | -Xmx21m -XX:MaxDirectMemorySize=7m
            {"limits":{"memory_mb":32}}                          | -Xmx10m -XX:MaxDirectMemorySize=4m
            {"limits":{"sockets":4}}                             | -Xmx32m -XX:MaxDirectMemorySize=32m
            no file                                              | -Xmx32m -XX:MaxDirectMemorySize=32m
            """)
    void startsWithTheSizesOfItsLimitAndWithNoOtherProgram(String config, String sizes) throws Exception {
        Path java = Files.createFile(folder.resolve("java"),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwxr-xr-x")));
        Files.writeString(java, "#!/bin/sh\necho \"$*\"\n");
        Path file = folder.resolve("config.json");
        if (config.startsWith("{")) {
            Files.writeString(file, config.replace("{\"limits", "{\n \"name\":\"memory\",\n \"limits"));
        }
        ProcessBuilder script = new ProcessBuilder("/bin/sh", "deploy/serve.sh", "--settings", "x").redirectErrorStream(true);
        script.environment().put("PATH", folder.toString());
        script.environment().put("BALANCER_CONFIG", file.toString());
        script.environment().remove("REHEARSAL");
        Process started = script.start();
        String said = new String(started.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(started.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(said).endsWith("serve --settings x\n").contains(sizes.split(" ")).doesNotContain("not found");
    }
}
