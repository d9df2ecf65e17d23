package io.mulberrylift.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dropwizard.jackson.Jackson;

/**
 * Serializes and parses the JSON messages of the stand-ins. Unknown properties are
 * ignored.
 *
 * <p>
 * Thread-safe utility class.
 * </p>
 */
public final class Json {

	private static final ObjectMapper MAPPER = Jackson.newObjectMapper()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private Json() {
	}

	/**
	 * Serializes a value to JSON.
	 * @param value the value to serialize
	 * @return the JSON text on a single line
	 * @throws IllegalArgumentException if the value cannot be serialized
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("Failed to serialize to JSON: " + value.getClass().getName(), ex);
		}
	}

	/**
	 * Parses a JSON text.
	 * @param <T> the target type
	 * @param text the JSON text; a blank text is parsed as an empty object
	 * @param type the target type
	 * @return the parsed value, never null
	 * @throws JsonProcessingException if the text cannot be parsed as the type
	 */
	public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
		T value = MAPPER.readValue(text.isBlank() ? "{}" : text, type);
		if (value == null) {
			throw new JsonMappingException(null, "The JSON body must not be null; send a JSON object");
		}
		return value;
	}

}
