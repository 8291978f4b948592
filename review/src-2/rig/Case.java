package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** One case of the review: plays it once and judges what clients, hosts and discovery saw. */
abstract class Case {
    /** How much longer every time limit is on sockets, by the protocol page. */
    static final long SLACK_MS = 50;

    private static final long WATCHDOG_MS = 110_000;
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    Record record;
    Path folder;

    /** Whether the disruption takes place. */
    boolean trouble;

    private final List<String> breaks = new ArrayList<>();

    /** Plays the case; each break of its rule is reported with {@link #broken}. */
    abstract void play() throws IOException;

    void broken(String what) {
        breaks.add(what);
    }

    /** Requires something without which the case shows nothing. */
    static void require(boolean condition, String what) throws IOException {
        if (!condition) {
            throw new IOException("the case could not run: " + what);
        }
    }

    static long now() {
        return System.currentTimeMillis();
    }

    /** Plays the case, with its record in the given folder, and ends the process. */
    final void run(String[] arguments) throws IOException {
        Thread watchdog = new Thread(() -> {
            Sockets.sleep(WATCHDOG_MS);
            System.out.println("the case took too long");
            System.exit(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        trouble = !"0".equals(System.getenv("TROUBLE"));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::deleteFolder));
        int code;
        try (Record file = new Record(Path.of(arguments[0], "record.txt"))) {
            record = file;
            code = judge();
        }
        System.exit(code);
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            System.out.println("the temporary folder stays: " + e);
        }
    }

    private int judge() {
        String verdict;
        int code;
        try {
            play();
            code = breaks.isEmpty() ? HELD : BROKEN;
            verdict = breaks.isEmpty() ? "the rule held" : "the rule was broken";
        } catch (IOException | RuntimeException e) {
            code = NOT_RUN;
            verdict = e.toString();
        }
        for (String line : breaks) {
            record.add("BROKEN: " + line);
        }
        record.add((trouble ? "" : "without the disruption: ") + verdict);
        breaks.stream().limit(5).forEach(System.out::println);
        System.out.println((trouble ? "" : "without the disruption: ") + verdict);
        return code;
    }
}
