package io.mulberrylift.testkit.experiment;

import java.util.Optional;

import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.WorkspaceId;

/**
 * Request that a caller sends at a scheduled time.
 *
 * @param id position in the workload, starting at 1
 * @param sendMicros intended time of the send in microseconds
 * @param entry index of the entry instance that receives it
 * @param workspace index of the workspace
 * @param promptTokens length of the prompt in tokens
 * @param answerTokens length of the answer in tokens, not known to the instances
 * @param prefixBlocks hashes of the prompt's blocks
 */
record Arrival(long id, long sendMicros, int entry, int workspace, int promptTokens, int answerTokens,
		long[] prefixBlocks) {

	WorkProfile profile() {
		return WorkProfile.of(this.promptTokens);
	}

	boolean isShort() {
		return this.promptTokens <= LengthClass.SHORT_PROMPT_TOKENS;
	}

	Arrival withSendMicros(long newSendMicros) {
		return new Arrival(this.id, newSendMicros, this.entry, this.workspace, this.promptTokens, this.answerTokens,
				this.prefixBlocks);
	}

	/**
	 * Returns the sum of prompt and answer tokens.
	 * @return the number of tokens
	 */
	long totalTokens() {
		return (long) this.promptTokens + this.answerTokens;
	}

	RequestSpec spec() {
		WorkProfile profile = profile();
		return new RequestSpec(this.id, new WorkspaceId("workspace-" + this.workspace), profile.label(), WorkKind.MODEL,
				FleetShape.MODEL, this.promptTokens, profile.maxOutputTokens(), this.prefixBlocks, this.id,
				Optional.empty(), true, profile.timeoutMillis());
	}

}
