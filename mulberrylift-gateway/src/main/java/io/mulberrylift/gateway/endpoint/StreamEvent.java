package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

/**
 * A complete event of a stream.
 *
 * @param bytes its bytes, including the empty line that ends it
 * @param id its identifier, empty if it has none
 */
public record StreamEvent(byte[] bytes, Optional<String> id) {

	private static final String DATA_FIELD = "data";

	public StreamEvent {
		Objects.requireNonNull(bytes, "bytes");
		Objects.requireNonNull(id, "id");
	}

	/**
	 * Returns whether the event has data but no identifier, so that a stream which is
	 * resumed after an earlier event repeats it.
	 * @return {@code false} for comments, too
	 */
	boolean isUnidentifiedData() {
		return this.id.isEmpty() && new String(this.bytes, StandardCharsets.ISO_8859_1).lines()
			.anyMatch((line) -> line.equals(DATA_FIELD) || line.startsWith(DATA_FIELD + ":"));
	}

}
