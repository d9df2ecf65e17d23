package io.mulberrylift.testkit.history;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import io.mulberrylift.testkit.http.Json;

/**
 * Reads history files.
 *
 * <p>
 * Stateless and safe for use by several threads.
 * </p>
 */
public final class HistoryReader {

	private HistoryReader() {
	}

	/**
	 * Reads and merges the histories of several processes. An incomplete last line, as a
	 * killed process may leave behind, is ignored.
	 * @param files the files
	 * @return the events ordered by time
	 * @throws IOException if a file cannot be read or a complete line is not a valid
	 * event
	 */
	public static List<HistoryEvent> read(Collection<Path> files) throws IOException {
		List<HistoryEvent> events = new ArrayList<>();
		for (Path file : files) {
			String text = Files.readString(file, StandardCharsets.UTF_8);
			String completeLines = text.substring(0, text.lastIndexOf('\n') + 1);
			for (String line : completeLines.lines().toList()) {
				events.add(Json.read(line, HistoryEvent.class));
			}
		}
		events.sort(Comparator.comparingLong(HistoryEvent::atEpochMillis));
		return events;
	}

}
