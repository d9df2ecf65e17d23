package io.mulberrylift.core.placement;

/**
 * Phase of a request's work at one endpoint.
 */
public enum WorkPhase {

	/**
	 * The prompt waits for prefill or is being prefilled. Work of services without an
	 * engine cost model stays in this phase.
	 */
	PREFILL,

	/** The answer is being generated. */
	DECODE,

	/** A part of a prompt is prefilled whose answer another endpoint generates. */
	HELPER_PREFILL

}
