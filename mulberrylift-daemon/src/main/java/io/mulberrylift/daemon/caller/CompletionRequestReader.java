package io.mulberrylift.daemon.caller;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Parses and validates the bodies of completion requests. A pure function of the body.
 */
final class CompletionRequestReader {

	private static final List<String> UNSUPPORTED_FIELDS = List.of("stop", "tools", "functions", "logprobs", "suffix",
			"echo", "response_format");

	private static final List<String> SINGLE_CHOICE_FIELDS = List.of("n", "best_of");

	private CompletionRequestReader() {
	}

	/**
	 * Parses a body.
	 * @param format format of the request
	 * @param body the body
	 * @return the request, or a refusal that names the invalid field
	 */
	static CheckResult<CompletionRequest> read(CompletionFormat format, byte[] body) {
		try {
			JsonNode root = CallerJson.mapper().readTree(body);
			return (root != null && root.isObject()) ? check(format, root)
					: badRequest("The body is not a JSON object");
		}
		catch (JsonProcessingException ex) {
			JsonLocation at = ex.getLocation();
			String place = (at != null) ? " at line " + at.getLineNr() + ", column " + at.getColumnNr() : "";
			return badRequest("The body is not valid JSON" + place);
		}
		catch (IOException ex) {
			return badRequest("The body is not valid JSON");
		}
	}

	private static CheckResult<CompletionRequest> check(CompletionFormat format, JsonNode root) {
		Optional<String> unsupported = unsupported(root);
		if (unsupported.isPresent()) {
			return badRequest("The field " + unsupported.get() + " is not supported; remove it");
		}
		JsonNode model = root.path("model");
		if (!model.isTextual() || model.textValue().isBlank()) {
			return badRequest("The field model must be a non-blank string");
		}
		JsonNode stream = root.path("stream");
		if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
			return badRequest("The field stream must be true or false");
		}
		return prompt(format, root).then((prompt) -> maxTokens(root)
			.then((maxTokens) -> CheckResult.valid(new CompletionRequest(model.textValue(), prompt, maxTokens,
					root.path("stream").asBoolean(), root.path("stream_options").path("include_usage").asBoolean()))));
	}

	private static Optional<String> unsupported(JsonNode root) {
		Optional<String> manyChoices = SINGLE_CHOICE_FIELDS.stream()
			.filter((name) -> root.hasNonNull(name) && root.get(name).asInt() != 1)
			.findFirst();
		return manyChoices.or(() -> UNSUPPORTED_FIELDS.stream().filter((name) -> isSet(root.path(name))).findFirst());
	}

	private static boolean isSet(JsonNode value) {
		boolean empty = value.isMissingNode() || value.isNull() || (value.isContainerNode() && value.isEmpty());
		return !empty && !(value.isBoolean() && !value.booleanValue());
	}

	private static CheckResult<String> prompt(CompletionFormat format, JsonNode root) {
		CheckResult<String> prompt = (format == CompletionFormat.CHAT) ? ChatPrompts.prompt(root.path("messages"))
				: plainPrompt(root.path("prompt"));
		return prompt.then((text) -> (text.isEmpty()) ? badRequest("The prompt is empty") : CheckResult.valid(text));
	}

	private static CheckResult<String> plainPrompt(JsonNode prompt) {
		JsonNode only = (prompt.isArray() && prompt.size() == 1) ? prompt.get(0) : prompt;
		return (only.isTextual()) ? CheckResult.valid(only.textValue())
				: badRequest("The field prompt must be a string or an array of one string");
	}

	private static CheckResult<OptionalInt> maxTokens(JsonNode root) {
		String name = (root.hasNonNull("max_completion_tokens")) ? "max_completion_tokens" : "max_tokens";
		JsonNode value = root.path(name);
		if (value.isMissingNode() || value.isNull()) {
			return CheckResult.valid(OptionalInt.empty());
		}
		boolean allowed = value.isIntegralNumber() && value.canConvertToInt() && value.intValue() > 0;
		return (allowed) ? CheckResult.valid(OptionalInt.of(value.intValue()))
				: badRequest("The field " + name + " must be a positive whole number");
	}

	private static <T> CheckResult<T> badRequest(String detail) {
		return CheckResult.refused(RefusalReason.BAD_REQUEST, detail);
	}

}
