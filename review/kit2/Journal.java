import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** record.txt: what was sent, answered and run. */
final class Journal implements AutoCloseable {

	private final PrintWriter out;

	private final long start = System.nanoTime();

	Journal(String folder) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
	}

	synchronized void line(String text) {
		this.out.printf("%8.3f %s%n", (System.nanoTime() - this.start) / 1e9, text);
	}

	synchronized void say(String text) {
		line(text);
		System.out.println(text);
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

	static boolean trouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

}
