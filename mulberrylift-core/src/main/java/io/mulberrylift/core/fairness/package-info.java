/**
 * Fair shares and rate limits of workspaces, tracked by each instance independently.
 */
package io.mulberrylift.core.fairness;
