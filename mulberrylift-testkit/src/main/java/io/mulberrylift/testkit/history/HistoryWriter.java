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
 * Appends events to a history, one JSON object per line. Each line is flushed, so that a
 * killed process loses none.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
public final class HistoryWriter implements Closeable {

	private final Writer out;

	/**
	 * Creates a writer.
	 * @param out receives the lines; closed with this writer
	 */
	public HistoryWriter(Writer out) {
		this.out = new BufferedWriter(out);
	}

	/**
	 * Creates a writer that appends to a file.
	 * @param file the file, created when it is missing
	 * @return the writer
	 * @throws UncheckedIOException if the file cannot be opened
	 */
	public static HistoryWriter appendTo(Path file) {
		try {
			return new HistoryWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8, StandardOpenOption.CREATE,
					StandardOpenOption.APPEND));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot open the history; name a file that can be written", ex);
		}
	}

	/**
	 * Creates a writer that drops everything.
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
				throw new UncheckedIOException("Cannot write the history; check the space on its device", ex);
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
