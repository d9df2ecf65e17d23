package io.mulberrylift.core.promise;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.ZoneId;

/**
 * Simulates a plain service that can leave, hang, crash and restart.
 */
final class VirtualEndpoint {

	private static final long RESTART_MILLIS = 3_000;

	private final VirtualTime time;

	private final EndpointId id;

	private final List<Runnable> connectionLostCallbacks = new ArrayList<>();

	private long incarnation = 1;

	private boolean up = true;

	private boolean hanging;

	private long leavingSinceMillis = Long.MAX_VALUE;

	VirtualEndpoint(VirtualTime time, String name) {
		this.time = time;
		this.id = new EndpointId(name);
	}

	EndpointDescription description(ZoneId zone) {
		return new EndpointDescription(this.id, WorkKind.SERVICE, zone, this.id + ":1", Set.of("tickets"), 0, false,
				false);
	}

	EndpointId id() {
		return this.id;
	}

	boolean isUp() {
		return this.up;
	}

	boolean isHanging() {
		return this.hanging;
	}

	void hang(boolean newHanging) {
		this.hanging = newHanging;
	}

	void leave() {
		this.leavingSinceMillis = this.time.nowMillis();
	}

	boolean isLeaving() {
		return this.leavingSinceMillis <= this.time.nowMillis();
	}

	boolean isLeavingLongerThan(long millis) {
		return isLeaving() && this.time.nowMillis() - this.leavingSinceMillis > millis;
	}

	void addConnection(Runnable onConnectionLost) {
		this.connectionLostCallbacks.add(onConnectionLost);
	}

	/**
	 * Crashes the process unless it is down already.
	 * @return whether the process was up
	 */
	boolean crash() {
		if (!this.up) {
			return false;
		}
		this.up = false;
		this.incarnation++;
		List<Runnable> callbacks = List.copyOf(this.connectionLostCallbacks);
		this.connectionLostCallbacks.clear();
		callbacks.forEach(Runnable::run);
		this.time.schedule(RESTART_MILLIS, this::restart);
		return true;
	}

	private void restart() {
		this.up = true;
		if (isLeaving()) {
			// The restarted process announces that it is leaving only from now on.
			this.leavingSinceMillis = this.time.nowMillis();
		}
	}

	LoadReport report() {
		return new LoadReport(this.id, this.incarnation, 0, 0, 0, 0, isLeaving(), Set.of(), "", 0);
	}

}
