package io.mulberrylift.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Converts chat messages into prompts for engines. Conversations that share their first
 * messages give prompts with a common prefix, so that engines can reuse cached prefixes.
 */
final class ChatPrompts {

	private ChatPrompts() {
	}

	/**
	 * Converts chat messages into a prompt.
	 * @param messages the JSON array of messages
	 * @return the prompt, or a refusal that names the invalid field
	 */
	static CheckResult<String> prompt(JsonNode messages) {
		if (!messages.isArray() || messages.isEmpty()) {
			return badRequest("The field messages must be a non-empty array");
		}
		StringBuilder prompt = new StringBuilder();
		for (int i = 0; i < messages.size(); i++) {
			JsonNode role = messages.get(i).path("role");
			if (!role.isTextual()) {
				return badRequest("The field messages[" + i + "].role must be a string");
			}
			prompt.append("<|").append(role.textValue()).append("|>\n");
			if (!appendContent(messages.get(i).path("content"), prompt)) {
				return badRequest("The field messages[" + i + "].content must be a string or an array of text parts");
			}
			prompt.append('\n');
		}
		return CheckResult.valid(prompt.append("<|assistant|>\n").toString());
	}

	private static boolean appendContent(JsonNode content, StringBuilder prompt) {
		if (content.isTextual()) {
			prompt.append(content.textValue());
			return true;
		}
		if (!content.isArray()) {
			return false;
		}
		for (JsonNode part : content) {
			if (!"text".equals(part.path("type").asText()) || !part.path("text").isTextual()) {
				return false;
			}
			prompt.append(part.get("text").textValue());
		}
		return true;
	}

	private static CheckResult<String> badRequest(String detail) {
		return CheckResult.refused(RefusalReason.BAD_REQUEST, detail);
	}

}
