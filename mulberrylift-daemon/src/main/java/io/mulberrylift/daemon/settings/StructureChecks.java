package io.mulberrylift.daemon.settings;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.core.configuration.ConfigurationProblem;

/**
 * Validates the structure of a JSON document against the records that it is bound to.
 * Reports all unknown keys, missing keys and values of the wrong type together.
 *
 * <p>
 * Not safe for use by several threads. Each object validates one document.
 * </p>
 */
final class StructureChecks {

	private static final int MAX_SHOWN_CHARS = 60;

	private final JsonLocations locations;

	private final List<ConfigurationProblem> findProblems = new ArrayList<>();

	/**
	 * Creates the checks for one document.
	 * @param locations locations of the document's values
	 */
	StructureChecks(JsonLocations locations) {
		this.locations = locations;
	}

	/**
	 * Finds all structural problems of the document.
	 * @param root the document
	 * @param recordType the record that the document is bound to
	 * @return the problems, empty when the structure is valid
	 */
	List<ConfigurationProblem> findProblems(JsonNode root, Class<?> recordType) {
		check("", root, recordType);
		return List.copyOf(this.findProblems);
	}

	private void check(String path, JsonNode node, Type type) {
		if (type instanceof ParameterizedType parameterized) {
			checkContainer(path, node, parameterized);
			return;
		}
		Class<?> valueType = (Class<?>) type;
		Optional<ScalarType> scalar = ScalarType.of(valueType);
		if (scalar.isPresent()) {
			expect(path, node, scalar.get().accepts(node), scalar.get().description());
		}
		else if (valueType.isEnum()) {
			checkEnum(path, node, valueType);
		}
		else if (expect(path, node, node.isObject(), "an object")) {
			checkMembers(path, node, valueType);
		}
	}

	private void checkContainer(String path, JsonNode node, ParameterizedType type) {
		Type[] arguments = type.getActualTypeArguments();
		Type valueType = arguments[arguments.length - 1];
		if (type.getRawType() == Optional.class) {
			if (!node.isNull()) {
				check(path, node, valueType);
			}
		}
		else if (type.getRawType() == Map.class) {
			if (expect(path, node, node.isObject(), "an object")) {
				node.properties().forEach((entry) -> checkEntry(path, entry, valueType));
			}
		}
		else if (expect(path, node, node.isArray(), "an array")) {
			IntStream.range(0, node.size())
				.forEach((index) -> check(JsonLocations.elementPath(path, index), node.get(index), valueType));
		}
	}

	private void checkEntry(String path, Map.Entry<String, JsonNode> entry, Type valueType) {
		String key = JsonLocations.memberPath(path, entry.getKey());
		if (entry.getKey().isBlank()) {
			add(key, "a blank name", "a name", "Give the entry a name.");
		}
		check(key, entry.getValue(), valueType);
	}

	private void checkMembers(String path, JsonNode node, Class<?> recordType) {
		Map<String, RecordComponent> components = Arrays.stream(recordType.getRecordComponents())
			.collect(Collectors.toMap(RecordComponent::getName, (component) -> component));
		node.properties().forEach((entry) -> {
			String key = JsonLocations.memberPath(path, entry.getKey());
			RecordComponent component = components.get(entry.getKey());
			if (component == null) {
				add(key, "unknown" + this.locations.describe(key), componentNames(recordType),
						"Remove the key or correct its name.");
			}
			else {
				check(key, entry.getValue(), component.getGenericType());
			}
		});
		components.values()
			.stream()
			.filter((component) -> isRequired(component) && !node.has(component.getName()))
			.map((component) -> JsonLocations.memberPath(path, component.getName()))
			.sorted()
			.forEach((key) -> add(key, "missing", "a value", "Add the key."));
	}

	private void checkEnum(String path, JsonNode node, Class<?> enumType) {
		List<String> names = Arrays.stream(enumType.getEnumConstants()).map(StructureChecks::enumName).toList();
		boolean known = node.isTextual() && names.contains(node.textValue());
		expect(path, node, known, String.join(" or ", names));
	}

	private boolean expect(String path, JsonNode node, boolean matches, String allowed) {
		if (!matches) {
			add((path.isEmpty()) ? "document" : path, abbreviate(node) + this.locations.describe(path), allowed,
					"Correct the value.");
		}
		return matches;
	}

	private void add(String key, String value, String allowed, String remedy) {
		this.findProblems.add(new ConfigurationProblem(key, value, allowed, remedy));
	}

	private static boolean isRequired(RecordComponent component) {
		JsonProperty property = component.getAccessor().getAnnotation(JsonProperty.class);
		return property != null && property.required();
	}

	private static String componentNames(Class<?> recordType) {
		return Arrays.stream(recordType.getRecordComponents())
			.map(RecordComponent::getName)
			.collect(Collectors.joining(", "));
	}

	private static String enumName(Object constant) {
		Enum<?> value = (Enum<?>) constant;
		try {
			JsonProperty property = value.getDeclaringClass().getField(value.name()).getAnnotation(JsonProperty.class);
			return (property != null) ? property.value() : value.name();
		}
		catch (NoSuchFieldException ex) {
			throw new IllegalStateException("No field is declared for the enum constant", ex);
		}
	}

	private static String abbreviate(JsonNode node) {
		String text = node.toString();
		return (text.length() <= MAX_SHOWN_CHARS) ? text : text.substring(0, MAX_SHOWN_CHARS) + "...";
	}

}
