package io.mulberrylift.testkit.engine;

/**
 * Net changes of a prefix cache between two positions of its event log. A key occurs in
 * at most one of the arrays, depending on its last event.
 *
 * <p>
 * Immutable as long as the arrays are not modified.
 * </p>
 *
 * @param sequence sequence number of the last event in the report
 * @param complete false if events after the requested sequence number are no longer in
 * the log
 * @param added keys of blocks that were added
 * @param evicted keys of blocks that were evicted
 */
public record CacheReport(long sequence, boolean complete, long[] added, long[] evicted) {
}
