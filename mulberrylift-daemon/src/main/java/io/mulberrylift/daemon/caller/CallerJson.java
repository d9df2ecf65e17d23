package io.mulberrylift.daemon.caller;

import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/**
 * JSON mapper for the bodies of callers' requests and answers.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
final class CallerJson {

	private static final int MAX_STRING_CHARS = 64 * 1_024 * 1_024;

	private static final ObjectMapper MAPPER = JsonMapper.builder(factory()).addModule(new Jdk8Module()).build();

	private CallerJson() {
	}

	private static JsonFactory factory() {
		StreamReadConstraints constraints = StreamReadConstraints.builder().maxStringLength(MAX_STRING_CHARS).build();
		return JsonFactory.builder().streamReadConstraints(constraints).build();
	}

	/**
	 * Returns the shared mapper.
	 * @return the mapper; must not be reconfigured
	 */
	static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Serializes a value.
	 * @param value the value
	 * @return its JSON text in UTF-8
	 */
	static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
