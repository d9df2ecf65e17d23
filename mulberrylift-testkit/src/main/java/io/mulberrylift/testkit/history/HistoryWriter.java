package io.mulberrylift.testkit.history;

import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

import io.mulberrylift.testkit.http.Json;

/**
 * Appends events to a history, one JSON object per line. Each line is flushed, so that no
 * written event is lost when the process is killed.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
public final class HistoryWriter implements Closeable {

	private final Writer out;

	/**
	 * Creates a writer.
	 * @param out destination of the lines; closed together with this writer
	 */
	public HistoryWriter(Writer out) {
		this.out = new BufferedWriter(out);
	}

	/**
	 * Creates a writer that appends to a file.
	 * @param file the file, created if it does not exist
	 * @return the writer
	 * @throws UncheckedIOException if the file cannot be opened
	 */
	public static HistoryWriter appendTo(Path file) {
		try {
			return new HistoryWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8, StandardOpenOption.CREATE,
					StandardOpenOption.APPEND));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot open the history file; specify a writable path", ex);
		}
	}

	/**
	 * Creates a writer that discards all events.
	 * @return the writer
	 */
	public static HistoryWriter none() {
		return new HistoryWriter(Writer.nullWriter());
	}

	/**
	 * Appends an event.
	 * @param event the event
	 * @throws UncheckedIOException if it cannot be written
	 */
	public void write(HistoryEvent event) {
		String line = Json.write(event);
		synchronized (this.out) {
			try {
				this.out.write(line);
				this.out.write('\n');
				this.out.flush();
			}
			catch (IOException ex) {
				throw new UncheckedIOException("Cannot write to the history; check the free space of its file system",
						ex);
			}
		}
	}

	@Override
	public void close() throws IOException {
		synchronized (this.out) {
			this.out.close();
		}
	}

}
