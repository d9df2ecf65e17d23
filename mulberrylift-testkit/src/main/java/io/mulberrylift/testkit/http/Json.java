package io.mulberrylift.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dropwizard.jackson.Jackson;

/**
 * JSON form of the stand-ins' messages. Unknown members are ignored.
 *
 * <p>
 * Utility class, safe for use by several threads.
 * </p>
 */
public final class Json {

	private static final ObjectMapper MAPPER = Jackson.newObjectMapper()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private Json() {
	}

	/**
	 * Returns the text form of a value.
	 * @param value the value
	 * @return one line of JSON
	 * @throws IllegalArgumentException if the value has no JSON form
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("No JSON form for " + value.getClass().getName(), ex);
		}
	}

	/**
	 * Reads a value.
	 * @param <T> the type
	 * @param text the JSON text; an empty text is read as an empty object
	 * @param type the type
	 * @return the value
	 * @throws JsonProcessingException if the text does not fit the type
	 */
	public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
		T value = MAPPER.readValue(text.isBlank() ? "{}" : text, type);
		if (value == null) {
			throw new JsonMappingException(null, "The body must not be null; send a JSON object");
		}
		return value;
	}

}
