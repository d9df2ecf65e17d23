package io.mulberrylift.daemon.caller;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Bodies of completion answers in the form that clients of the common completion
 * interface read.
 */
final class CompletionBodies {

	private CompletionBodies() {
	}

	/**
	 * A whole answer or one chunk of a streamed one.
	 *
	 * @param <C> the kind of choices
	 * @param id identity of the answer
	 * @param object name of the kind of body
	 * @param createdEpochSeconds time of creation in seconds since the epoch
	 * @param model name of the model
	 * @param choices the choices, empty in a chunk that only carries the usage
	 * @param usage the token counts, null where they are not sent
	 */
	record Body<C>(String id, String object, @JsonProperty("created") long createdEpochSeconds, String model,
			List<C> choices, @JsonInclude(JsonInclude.Include.NON_NULL) Usage usage) {
	}

	/**
	 * Token counts.
	 *
	 * @param promptTokens length of the prompt
	 * @param completionTokens length of the answer
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
	 * A choice of a text completion, whole or in part.
	 *
	 * @param index always 0
	 * @param text the generated text
	 * @param finishReason why generation ended, null before the end
	 */
	record TextChoice(int index, String text, @JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * A choice of a whole chat completion.
	 *
	 * @param index always 0
	 * @param message the generated message
	 * @param finishReason why generation ended
	 */
	record MessageChoice(int index, Message message, @JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * A choice of one chunk of a chat completion.
	 *
	 * @param index always 0
	 * @param delta what is new
	 * @param finishReason why generation ended, null before the end
	 */
	record DeltaChoice(int index, Message delta, @JsonProperty("finish_reason") String finishReason) {
	}

	/**
	 * A message or a part of one.
	 *
	 * @param role who speaks, null where it is not repeated
	 * @param content the text, null for none
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	record Message(String role, String content) {
	}

}
