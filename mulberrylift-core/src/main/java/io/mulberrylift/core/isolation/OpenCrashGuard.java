package io.mulberrylift.core.isolation;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.time.Moment;

/**
 * Suspects no request.
 */
public final class OpenCrashGuard implements CrashGuard {

	@Override
	public CrashVerdict verdict(long fingerprint) {
		return CrashVerdict.CLEAR;
	}

	@Override
	public boolean mayStart(long fingerprint, EndpointId endpoint, Moment now) {
		return true;
	}

	@Override
	public void attemptStarted(long attemptId, long fingerprint, EndpointId endpoint) {
		// Nothing is suspected.
	}

	@Override
	public void attemptEnded(long attemptId, boolean connectionLost, Moment now, Effects effects) {
		// Nothing is suspected.
	}

	@Override
	public void endpointLost(EndpointId endpoint, Moment now, Effects effects) {
		// Nothing is suspected.
	}

}
