package io.mulberrylift.daemon.settings;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * Kinds of single values in documents.
 */
enum ScalarType {

	/** Any string. */
	TEXT("a string", JsonNode::isTextual, String.class),

	/** The name of an instance or an availability zone. */
	NAME("a string that is not blank", (node) -> node.isTextual() && !node.textValue().isBlank(), ZoneId.class,
			InstanceId.class),

	/** A boolean. */
	BOOLEAN("true or false", JsonNode::isBoolean, boolean.class),

	/** A whole number of 32 bits. */
	INT("a whole number of at most " + Integer.MAX_VALUE, (node) -> node.isIntegralNumber() && node.canConvertToInt(),
			int.class),

	/** A whole number of 64 bits. */
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
	 * Returns the kind of a Java type.
	 * @param type the type
	 * @return the kind, empty when the type is not a single value
	 */
	static Optional<ScalarType> of(Class<?> type) {
		return Arrays.stream(values()).filter((candidate) -> candidate.types.contains(type)).findFirst();
	}

	/**
	 * Returns what is allowed.
	 * @return the description
	 */
	String description() {
		return this.description;
	}

	/**
	 * Returns whether a value is of this kind.
	 * @param node the value
	 * @return true if so
	 */
	boolean accepts(JsonNode node) {
		return this.accepted.test(node);
	}

}
