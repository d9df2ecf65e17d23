package io.mulberrylift.gateway.endpoint;

import java.util.Objects;
import java.util.Optional;

/**
 * A complete event of a stream.
 *
 * @param bytes its bytes, including the empty line that ends it
 * @param id its identifier, empty if it has none
 */
public record StreamEvent(byte[] bytes, Optional<String> id) {

	public StreamEvent {
		Objects.requireNonNull(bytes, "bytes");
		Objects.requireNonNull(id, "id");
	}

}
