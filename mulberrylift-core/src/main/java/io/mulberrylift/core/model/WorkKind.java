package io.mulberrylift.core.model;

/**
 * The two kinds of work that endpoints run.
 */
public enum WorkKind {

	/** Completion work for a model engine. */
	MODEL,

	/** A forwarded call to a plain service. */
	SERVICE

}
