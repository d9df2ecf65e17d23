package io.mulberrylift.core.request;

/**
 * Phase of a request between its arrival and its final answer.
 */
enum RequestPhase {

	/** Waiting for grants from a majority of the witness seats, the voters on claims. */
	CLAIMING,

	/** Waiting for an endpoint. */
	QUEUED,

	/** Waiting for memory holds on several engines. */
	RESERVING,

	/** Running on an endpoint. */
	RUNNING

}
