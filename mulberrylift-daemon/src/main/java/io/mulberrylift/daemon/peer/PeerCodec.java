package io.mulberrylift.daemon.peer;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.PeerMessage;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the bodies of frames.
 *
 * <p>
 * Immutable and safe for use by several threads. Unknown members are ignored, so that a
 * member can be added without a new protocol version.
 * </p>
 */
final class PeerCodec {

	private static final ObjectMapper MAPPER = mapper();

	private PeerCodec() {
	}

	private static ObjectMapper mapper() {
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		mapper.registerModule(new Jdk8Module());
		mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
		mapper.addMixIn(PeerMessage.class, KindProperty.class);
		mapper.addMixIn(InstanceId.class, StringValue.class);
		mapper.addMixIn(ZoneId.class, StringValue.class);
		mapper.addMixIn(EndpointId.class, StringValue.class);
		for (PeerMessageKind kind : PeerMessageKind.values()) {
			mapper.registerSubtypes(new NamedType(kind.type(), kind.label()));
		}
		return mapper;
	}

	static byte[] encode(PeerMessage message) {
		return write(message);
	}

	static byte[] encode(Hello hello) {
		return write(hello);
	}

	private static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Message cannot be encoded: " + value.getClass().getSimpleName(), ex);
		}
	}

	/**
	 * Decodes a message.
	 * @param body the body of a frame
	 * @return the message
	 * @throws MalformedFrameException if the body is not a message
	 */
	static PeerMessage decodeMessage(byte[] body) throws MalformedFrameException {
		return read(body, PeerMessage.class);
	}

	/**
	 * Decodes a handshake frame.
	 * @param body the body of a frame
	 * @return the handshake frame
	 * @throws MalformedFrameException if the body is not a handshake frame
	 */
	static Hello decodeHello(byte[] body) throws MalformedFrameException {
		return read(body, Hello.class);
	}

	private static <T> T read(byte[] body, Class<T> type) throws MalformedFrameException {
		MessagePackValidator.validate(body);
		try {
			T value = MAPPER.readValue(body, type);
			if (value == null) {
				throw new MalformedFrameException("frame body is a MessagePack nil");
			}
			return value;
		}
		catch (MalformedFrameException ex) {
			throw ex;
		}
		catch (IOException | RuntimeException ex) {
			throw new MalformedFrameException("frame body is not a valid " + type.getSimpleName(), ex);
		}
	}

	/**
	 * Mix-in that writes the kind of a message as the member {@code kind}.
	 */
	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
	private interface KindProperty {

	}

	/**
	 * Mix-in that writes an identifier as a plain string.
	 */
	private abstract static class StringValue {

		@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
		StringValue(String value) {
		}

		@JsonValue
		abstract String value();

	}

}
