/**
 * Decides which requests are admitted when not all can be served in time: by rank, by
 * workspace and without starving any size.
 */
package io.mulberrylift.core.admission;
