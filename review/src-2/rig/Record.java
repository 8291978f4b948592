package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the milliseconds since the record began. */
final class Record implements AutoCloseable {
    private final long startedMs = System.currentTimeMillis();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String text) {
        out.printf("%7d %s%n", System.currentTimeMillis() - startedMs, text);
        out.flush();
    }

    /** Returns a Unix time as milliseconds of this record. */
    long at(long unixMs) {
        return unixMs - startedMs;
    }

    /** Appends a file, such as a router's log, indented. */
    synchronized void append(String title, Path file) throws IOException {
        out.println(title);
        if (Files.exists(file)) {
            Files.readAllLines(file).forEach(line -> out.println("    " + line));
        }
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
