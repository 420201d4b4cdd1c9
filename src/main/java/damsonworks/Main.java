package damsonworks;

import damsonworks.proxy.Proxy;
import damsonworks.wire.Drill;

/**
 * Command line: {@code serve} is one real proxy on sockets, {@code drill} speaks the simulator's wire on
 * standard input and output.
 */
public final class Main {
    private Main() { }

    /** Runs until the input ends ({@code drill}) or the process is told to end ({@code serve}). */
    public static void main(String[] args) {
        if (args.length == 3 && args[0].equals("serve") && args[1].equals("--settings")) {
            Proxy.main(args[2]);
            return;
        }
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> Proxy.main(null);
            case "drill" -> System.exit(Drill.main());
            default -> {
                System.err.println("usage: java -jar damsonworks.jar serve [--settings FILE] | drill");
                System.exit(2);
            }
        }
    }
}
