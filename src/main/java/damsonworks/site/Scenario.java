package damsonworks.site;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * What goes wrong and when, read from a text in TOML: tables {@code [[fault]]}. Right as a whole or not used at all. Rules
 * alone; the same seed draws the same nodes.
 */
public final class Scenario {
    /** What may go wrong. */
    public enum What {
        STALL, CRASH, RESTART, DRAIN, SILENT, SPEAK, SPOIL, JOIN, LISTS_OUT, LISTS_BACK;

        /** Whether it is of a node that is there. */
        boolean ofNode() {
            return this != JOIN && this != LISTS_OUT && this != LISTS_BACK;
        }
    }

    /**
     * One fault of one node.
     *
     * @param node its number from 0; -1: it is of none
     * @param forMs how long a stall lasts
     */
    public record Event(double atMs, What what, int node, double forMs) { }

    /** One line: the file, the key, its value and what is allowed. */
    public static final class BadScenario extends Exception {
        private static final long serialVersionUID = 1L;

        BadScenario(String message) {
            super(message, null, false, false);
        }
    }

    /** Of one file. */
    static final int MOST_EVENTS = 100_000;
    private static final List<String> KEYS = List.of("at_s", "what", "node", "part", "for_ms", "every_s", "until_s");

    private final List<Event> events;

    private Scenario(List<Event> events) {
        this.events = events;
    }

    /** In the order of their times. */
    public List<Event> events() {
        return events;
    }

    /** One fault of one node, as the demo's own. */
    public static Scenario of(double atMs, What what, int node, double forMs) {
        return new Scenario(List.of(new Event(atMs, what, node, forMs)));
    }

    public static final Scenario NONE = new Scenario(List.of());

    /**
     * Reads a scenario.
     *
     * @param file its name, for errors
     * @param nodes of the site, from 1
     */
    public static Scenario parse(String file, String text, int nodes, long seed) throws BadScenario {
        Config all;
        try {
            all = new TomlParser().parse(text);
        } catch (ParsingException e) {
            throw new BadScenario(file + ": not TOML: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
        for (Config.Entry e : all.entrySet()) {
            if (!e.getKey().equals("fault") || !(e.getValue() instanceof List)) {
                throw new BadScenario(file + ": '" + e.getKey() + "': only tables [[fault]] are allowed");
            }
        }
        List<Event> events = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        List<?> faults = all.getOrElse("fault", List.of());
        for (int i = 0; i < faults.size(); i++) {
            if (!(faults.get(i) instanceof Config fault)) {
                throw new BadScenario(file + ": fault " + (i + 1) + ": a table [[fault]] is wanted");
            }
            read(file + ", fault " + (i + 1), fault.valueMap(), nodes, random.split(), events);
        }
        events.sort(Comparator.comparingDouble(Event::atMs));
        return new Scenario(Collections.unmodifiableList(events));
    }

    private static void read(String where, Map<String, Object> fault, int nodes, SplittableRandom random, List<Event> events)
            throws BadScenario {
        for (String key : fault.keySet()) {
            if (!KEYS.contains(key)) {
                throw new BadScenario(where + ": '" + key + "': allowed are " + KEYS);
            }
        }
        What what = what(where, fault.get("what"));
        double at = number(where, fault, "at_s", Double.NaN, 0, 86_400);
        double forMs = number(where, fault, "for_ms", 1000, 1, 600_000);
        double every = number(where, fault, "every_s", 0, 0.01, 86_400);
        double until = number(where, fault, "until_s", at, at, 86_400);
        double part = number(where, fault, "part", 0, 0, 1);
        int node = (int) number(where, fault, "node", -1, 0, nodes - 1);
        if (node >= 0 && part > 0) {
            throw new BadScenario(where + ": 'node' and 'part': one of them is allowed");
        }
        for (double t = at; t <= until; t += every) {
            for (int of : nodes(what, node, part, nodes, random)) {
                if (events.size() == MOST_EVENTS) {
                    throw new BadScenario(where + ": 'every_s' " + every + ": more than " + MOST_EVENTS + " faults");
                }
                events.add(new Event(t * 1000, what, of, forMs));
            }
            if (every == 0) {
                break;
            }
        }
    }

    /** The node that is named, or so many by lot, each time others; one by lot where nothing is said. */
    private static List<Integer> nodes(What what, int node, double part, int nodes, SplittableRandom random) {
        if (!what.ofNode()) {
            return List.of(-1);
        }
        if (node >= 0) {
            return List.of(node);
        }
        List<Integer> all = new ArrayList<>();
        for (int n = 0; n < nodes; n++) {
            all.add(n);
        }
        int wanted = Math.max(1, (int) Math.round(part * nodes));
        for (int i = 0; i < wanted; i++) {
            Collections.swap(all, i, i + random.nextInt(nodes - i));
        }
        return all.subList(0, wanted);
    }

    private static What what(String where, Object value) throws BadScenario {
        for (What w : What.values()) {
            if (w.name().toLowerCase(Locale.ROOT).equals(value)) {
                return w;
            }
        }
        throw new BadScenario(where + ": 'what' " + value + ": allowed are "
                + java.util.Arrays.toString(What.values()).toLowerCase(Locale.ROOT));
    }

    private static double number(String where, Map<String, Object> fault, String key, double absent, double least, double most)
            throws BadScenario {
        Object value = fault.get(key);
        if (value == null && !Double.isNaN(absent)) {
            return absent;
        }
        if (value instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most
                && (!key.equals("node") || n.doubleValue() == n.intValue())) {
            return n.doubleValue();
        }
        throw new BadScenario(where + ": '" + key + "' " + value + ": allowed are " + least + " to " + most);
    }
}
