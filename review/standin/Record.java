import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with the time since the start. */
final class Record {
    private final PrintStream output;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        output = new PrintStream(file.toFile());
    }

    synchronized void add(String text) {
        String line = String.format("%8.3f %s", (System.nanoTime() - start) / 1e9, text);
        output.println(line);
        output.flush();
    }
}
