package io.mulberrylift.core.request;

/**
 * Where a request stands between arrival and its final answer.
 */
enum RequestPhase {

	/** Waits for a majority of the witness seats. */
	CLAIMING,

	/** Waits for an endpoint. */
	QUEUED,

	/** Waits for memory on several engines. */
	RESERVING,

	/** Runs on an endpoint. */
	RUNNING

}
