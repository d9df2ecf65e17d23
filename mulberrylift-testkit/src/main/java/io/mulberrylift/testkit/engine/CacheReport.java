package io.mulberrylift.testkit.engine;

/**
 * Net changes of a prefix cache between two points of its event log. A key stands in at
 * most one of the lists; its last event decides.
 *
 * <p>
 * Immutable as long as the arrays are left unchanged.
 * </p>
 *
 * @param sequence number of the last event that the report covers
 * @param complete false when events after the asked number were dropped from the log
 * @param added keys of blocks that were added
 * @param evicted keys of blocks that were evicted
 */
public record CacheReport(long sequence, boolean complete, long[] added, long[] evicted) {
}
