package io.mulberrylift.daemon.caller;

import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.configuration.WorkspaceSettings;
import io.mulberrylift.core.model.WorkspaceId;

/**
 * Validated values of the headers of a request.
 *
 * @param workspace workspace to which the request is attributed
 * @param workspaceSettings settings of the workspace
 * @param profile name of the profile
 * @param profileSettings settings of the profile
 * @param timeoutMillis time within which the request must end, in milliseconds
 */
record Envelope(WorkspaceId workspace, WorkspaceSettings workspaceSettings, String profile,
		ProfileSettings profileSettings, long timeoutMillis) {
}
