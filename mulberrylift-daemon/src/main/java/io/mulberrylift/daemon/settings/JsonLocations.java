package io.mulberrylift.daemon.settings;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;

/**
 * Line and column of each value in a JSON document by its path, such as
 * {@code profiles.alert.priority} or {@code witnessZones[1]}.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 */
final class JsonLocations {

	private final Map<String, JsonLocation> locations;

	private JsonLocations(Map<String, JsonLocation> locations) {
		this.locations = Map.copyOf(locations);
	}

	/**
	 * Records the location of every value in a document.
	 * @param parser a parser positioned at the start of the document
	 * @return the locations
	 * @throws IOException if the document is not valid JSON
	 */
	static JsonLocations read(JsonParser parser) throws IOException {
		Map<String, JsonLocation> locations = new HashMap<>();
		while (parser.nextToken() != null) {
			if (parser.currentToken().isScalarValue()) {
				locations.putIfAbsent(path(parser.getParsingContext()), parser.currentTokenLocation());
			}
			else if (parser.currentToken().isStructStart()) {
				locations.putIfAbsent(path(parser.getParsingContext().getParent()), parser.currentTokenLocation());
			}
		}
		return new JsonLocations(locations);
	}

	/**
	 * Formats the location of a value for a message.
	 * @param path path of the value
	 * @return " at line l, column c", or an empty string when the document has no such
	 * value
	 */
	String describe(String path) {
		JsonLocation location = this.locations.get(path);
		return (location != null) ? describe(location) : "";
	}

	/**
	 * Formats a location for a message.
	 * @param location the location
	 * @return " at line l, column c"
	 */
	static String describe(JsonLocation location) {
		return " at line " + location.getLineNr() + ", column " + location.getColumnNr();
	}

	/**
	 * Builds the path of an object's member.
	 * @param parent path of the object, empty for the root
	 * @param name name of the member
	 * @return the path
	 */
	static String memberPath(String parent, String name) {
		return (parent.isEmpty()) ? name : parent + "." + name;
	}

	/**
	 * Builds the path of an array's element.
	 * @param parent path of the array
	 * @param index index of the element
	 * @return the path
	 */
	static String elementPath(String parent, int index) {
		return parent + "[" + index + "]";
	}

	private static String path(JsonStreamContext context) {
		if (context.inRoot()) {
			return "";
		}
		String parent = path(context.getParent());
		return (context.inArray()) ? elementPath(parent, context.getCurrentIndex())
				: memberPath(parent, String.valueOf(context.getCurrentName()));
	}

}
