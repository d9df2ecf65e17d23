package io.mulberrylift.daemon.settings;

import java.io.IOException;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.mulberrylift.core.configuration.ConfigurationProblem;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;

/**
 * Parses JSON with comments into records. Stateless; the result depends only on the text.
 */
final class JsonRecordReader {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.addModule(new Jdk8Module())
		.addModule(identifierModule())
		.build();

	private JsonRecordReader() {
	}

	/**
	 * Parses a document and validates its structure and content.
	 * @param <T> type of the record
	 * @param text the document
	 * @param recordType the record that the document is bound to
	 * @param contentValidator finds content problems in a document whose structure is
	 * valid
	 * @return the record, or all problems found
	 */
	static <T> SettingsCheck<T> read(String text, Class<T> recordType,
			Function<T, List<ConfigurationProblem>> contentValidator) {
		try {
			JsonNode root = MAPPER.readTree(text);
			JsonLocations locations = locations(text);
			List<ConfigurationProblem> problems = new StructureChecks(locations).findProblems(root, recordType);
			return (problems.isEmpty()) ? bind(root, recordType, locations, contentValidator)
					: new SettingsCheck.Invalid<>(problems);
		}
		catch (JsonProcessingException ex) {
			return syntaxProblem(ex);
		}
		catch (IOException ex) {
			throw new IllegalStateException("I/O error while parsing JSON from a string", ex);
		}
	}

	private static <T> SettingsCheck<T> bind(JsonNode root, Class<T> recordType, JsonLocations locations,
			Function<T, List<ConfigurationProblem>> contentValidator) throws JsonProcessingException {
		T value = MAPPER.treeToValue(root, recordType);
		List<ConfigurationProblem> problems = contentValidator.apply(value)
			.stream()
			.map((problem) -> new ConfigurationProblem(problem.key(),
					problem.value() + locations.describe(problem.key()), problem.allowed(), problem.remedy()))
			.toList();
		return (problems.isEmpty()) ? new SettingsCheck.Valid<>(value) : new SettingsCheck.Invalid<>(problems);
	}

	private static JsonLocations locations(String text) throws IOException {
		try (JsonParser parser = MAPPER.createParser(text)) {
			return JsonLocations.read(parser);
		}
	}

	private static <T> SettingsCheck<T> syntaxProblem(JsonProcessingException ex) {
		String location = (ex.getLocation() != null) ? JsonLocations.describe(ex.getLocation()) : "";
		return new SettingsCheck.Invalid<>(
				List.of(new ConfigurationProblem("document", "not valid" + location + " (" + summary(ex) + ")",
						"JSON with comments", "Correct the text at this place.")));
	}

	private static String summary(JsonProcessingException ex) {
		String message = ex.getOriginalMessage().lines().findFirst().orElse("");
		int suffixStart = message.indexOf(" (for ");
		return (suffixStart < 0) ? message : message.substring(0, suffixStart);
	}

	private static SimpleModule identifierModule() {
		SimpleModule module = new SimpleModule();
		module.addDeserializer(ZoneId.class, new IdentifierDeserializer<>(ZoneId::new));
		module.addDeserializer(InstanceId.class, new IdentifierDeserializer<>(InstanceId::new));
		return module;
	}

	/**
	 * Deserializes an identifier from a string.
	 *
	 * @param <T> type of the identifier
	 */
	private static final class IdentifierDeserializer<T> extends JsonDeserializer<T> {

		private final Function<String, T> factory;

		IdentifierDeserializer(Function<String, T> factory) {
			this.factory = factory;
		}

		@Override
		public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			return this.factory.apply(parser.getValueAsString());
		}

	}

}
