/**
 * Shares and limits of workspaces, kept by each instance on its own.
 */
package io.mulberrylift.core.fairness;
