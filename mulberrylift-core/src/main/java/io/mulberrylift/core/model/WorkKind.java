package io.mulberrylift.core.model;

/**
 * The kinds of work that endpoints run.
 */
public enum WorkKind {

	/** A completion request for a model engine. */
	MODEL,

	/** A forwarded call to a plain service. */
	SERVICE

}
