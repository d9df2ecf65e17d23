package io.mulberrylift.core.placement;

/**
 * What a piece of work does at its endpoint.
 */
public enum WorkPhase {

	/** Waits for, or is in, the reading of its prompt; plain work stays in this phase. */
	PREFILL,

	/** Writes its answer. */
	DECODE,

	/** Reads a part of a prompt whose answer another endpoint writes. */
	HELPER_PREFILL

}
