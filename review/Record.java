import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	synchronized void line(String text) {
		this.out.printf(Locale.ROOT, "%9.4f %s%n", (System.nanoTime() - this.startNanos) / 1e9, text);
	}

	/** Writes a line and prints it. */
	void say(String text) {
		line(text);
		System.out.println(text);
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
