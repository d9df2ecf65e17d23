package io.mulberrylift.daemon.settings;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * Types of scalar values in documents.
 */
enum ScalarType {

	/** Any string. */
	TEXT("a string", JsonNode::isTextual, String.class),

	/** The identifier of an instance or an availability zone. */
	NAME("a string that is not blank", (node) -> node.isTextual() && !node.textValue().isBlank(), ZoneId.class,
			InstanceId.class),

	/** A boolean. */
	BOOLEAN("true or false", JsonNode::isBoolean, boolean.class),

	/** A 32-bit integer. */
	INT("a whole number of at most " + Integer.MAX_VALUE, (node) -> node.isIntegralNumber() && node.canConvertToInt(),
			int.class),

	/** A 64-bit integer. */
	LONG("a whole number", (node) -> node.isIntegralNumber() && node.canConvertToLong(), long.class),

	/** Any number. */
	NUMBER("a number", JsonNode::isNumber, double.class);

	private final String description;

	private final Predicate<JsonNode> accepted;

	private final Set<Class<?>> types;

	ScalarType(String description, Predicate<JsonNode> accepted, Class<?>... types) {
		this.description = description;
		this.accepted = accepted;
		this.types = Set.of(types);
	}

	/**
	 * Finds the scalar type that a Java type is read as.
	 * @param type the Java type
	 * @return the scalar type, empty when the Java type is not a scalar
	 */
	static Optional<ScalarType> of(Class<?> type) {
		return Arrays.stream(values()).filter((candidate) -> candidate.types.contains(type)).findFirst();
	}

	/**
	 * Describes the allowed values for a message.
	 * @return the description
	 */
	String description() {
		return this.description;
	}

	/**
	 * Checks whether a JSON value is of this type.
	 * @param node the value
	 * @return whether the value is of this type
	 */
	boolean accepts(JsonNode node) {
		return this.accepted.test(node);
	}

}
