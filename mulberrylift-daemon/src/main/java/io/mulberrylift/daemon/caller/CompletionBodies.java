package io.mulberrylift.daemon.caller;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Bodies of completion answers in the format that clients of the common completion API
 * expect.
 */
final class CompletionBodies {

	private CompletionBodies() {
	}

	/**
	 * A complete answer or one chunk of a streamed answer.
	 *
	 * @param <C> type of the choices
	 * @param id identity of the answer
	 * @param object type name of the body
	 * @param createdEpochSeconds time of creation in seconds since the epoch
	 * @param model name of the model
	 * @param choices the choices, empty in a chunk that contains only the usage
	 * @param usage the token counts, null if they are not sent
	 */
	record Body<C>(String id, String object, @JsonProperty("created") long createdEpochSeconds, String model,
			List<C> choices, @JsonInclude(JsonInclude.Include.NON_NULL) Usage usage) {
	}

	/**
	 * Token counts.
	 *
	 * @param promptTokens length of the prompt in tokens
	 * @param completionTokens length of the answer in tokens
	 * @param totalTokens sum of both
	 */
	record Usage(@JsonProperty("prompt_tokens") int promptTokens,
			@JsonProperty("completion_tokens") int completionTokens, @JsonProperty("total_tokens") int totalTokens) {

		/**
		 * Creates the counts with their sum.
		 * @param promptTokens length of the prompt
		 * @param completionTokens length of the answer
		 * @return the counts
		 */
		static Usage of(int promptTokens, int completionTokens) {
			return new Usage(promptTokens, completionTokens, promptTokens + completionTokens);
		}

	}

	/**
	 * A choice of a text completion or of one of its chunks.
	 *
	 * @param index always 0
	 * @param text the generated text
	 * @param finishReason why generation ended, null before the end
	 */
	record TextChoice(int index, String text, @JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * A choice of a complete chat completion.
	 *
	 * @param index always 0
	 * @param message the generated message
	 * @param finishReason why generation ended
	 */
	record MessageChoice(int index, Message message, @JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * A choice of a chunk of a chat completion.
	 *
	 * @param index always 0
	 * @param delta the new part of the message
	 * @param finishReason why generation ended, null before the end
	 */
	record DeltaChoice(int index, Message delta, @JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * A message or a part of one.
	 *
	 * @param role role of the author, null in all chunks but the first
	 * @param content the text, null in the last chunk
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	record Message(String role, String content) {
	}

}
