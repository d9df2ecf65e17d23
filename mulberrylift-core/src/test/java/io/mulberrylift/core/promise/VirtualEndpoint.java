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
 * A plain service: runs calls, can be leaving, hang, crash and start again.
 */
final class VirtualEndpoint {

	private static final long RESTART_MILLIS = 3_000;

	private final VirtualTime time;

	private final EndpointId id;

	private final List<Runnable> brokenConnections = new ArrayList<>();

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

	void addConnection(Runnable onBroken) {
		this.brokenConnections.add(onBroken);
	}

	/**
	 * Ends the process unless it has ended already.
	 * @return whether it was up
	 */
	boolean crash() {
		if (!this.up) {
			return false;
		}
		this.up = false;
		this.incarnation++;
		List<Runnable> connections = List.copyOf(this.brokenConnections);
		this.brokenConnections.clear();
		connections.forEach(Runnable::run);
		this.time.schedule(RESTART_MILLIS, this::restart);
		return true;
	}

	private void restart() {
		this.up = true;
		if (isLeaving()) {
			// The new process gives its first signal now.
			this.leavingSinceMillis = this.time.nowMillis();
		}
	}

	LoadReport report() {
		return new LoadReport(this.id, this.incarnation, 0, 0, 0, 0, isLeaving(), Set.of(), "", 0);
	}

}
