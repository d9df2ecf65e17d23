package io.mulberrylift.core.placement;

import io.mulberrylift.core.hash.Rendezvous;

/**
 * Kinds of prompts that disturb each other on one engine.
 */
public enum DemandKind {

	/**
	 * Prompts whose answers have a gap target that one full iteration of an engine
	 * misses: a single part of a long prompt on the engine makes them late.
	 */
	SHORT_ANSWER,

	/** All other prompts. */
	LONG_PROMPT;

	private static final int HASH_BITS = 32;

	/**
	 * Returns the kind of a prompt, which is the same on all instances.
	 * @param gapTargetMillis gap target of its answer; 0 for none
	 * @param model cost model of the engines
	 * @return the kind
	 */
	public static DemandKind of(long gapTargetMillis, EngineCostModel model) {
		return of(gapTargetMillis, model.fullIterationMillis());
	}

	static DemandKind of(long gapTargetMillis, double fullIterationMillis) {
		return (gapTargetMillis > 0 && gapTargetMillis < fullIterationMillis) ? SHORT_ANSWER : LONG_PROMPT;
	}

	/**
	 * Returns the hash that identifies the demand of this kind in messages.
	 * @param service name of the service
	 * @return the hash, the same on all instances
	 */
	public int subjectHash(String service) {
		long score = Rendezvous.score(name(), service);
		return (int) (score ^ (score >>> HASH_BITS));
	}

	/**
	 * Returns the other kind.
	 * @return the kind
	 */
	public DemandKind other() {
		return (this == SHORT_ANSWER) ? LONG_PROMPT : SHORT_ANSWER;
	}

}
