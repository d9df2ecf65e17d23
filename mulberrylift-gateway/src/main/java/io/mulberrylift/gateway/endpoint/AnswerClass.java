package io.mulberrylift.gateway.endpoint;

/**
 * What the head of an endpoint's answer means for the request it was sent for.
 */
public enum AnswerClass {

	/** It belongs to another request. */
	OTHER_REQUEST,

	/** The endpoint states that it did not run the request. */
	NOT_RUN,

	/** The endpoint states that it is another process than the one expected. */
	MISDIRECTED,

	/** An answer that is passed on. */
	VALID,

	/** A failure of the endpoint, passed on when no other attempt follows. */
	FAILURE,

	/** Bytes that cannot be the endpoint's answer. */
	INVALID

}
