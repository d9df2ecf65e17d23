package io.mulberrylift.testkit.engine;

import java.util.function.LongSupplier;

/**
 * Clock of a timing model that runs in a process: real time multiplied by a scale,
 * excluding periods in which the clock is frozen.
 *
 * <p>
 * Invariant: the time never decreases. Not thread-safe.
 * </p>
 */
final class EngineClock {

	private static final double NANOS_PER_MICRO = 1_000;

	private final double scale;

	private final LongSupplier nanoTime;

	private long originNanos;

	private long frozenAtNanos;

	private boolean frozen;

	EngineClock(double scale, LongSupplier nanoTime) {
		this.scale = scale;
		this.nanoTime = nanoTime;
		this.originNanos = nanoTime.getAsLong();
	}

	long micros() {
		long nowNanos = this.frozen ? this.frozenAtNanos : this.nanoTime.getAsLong();
		return (long) ((nowNanos - this.originNanos) / NANOS_PER_MICRO * this.scale);
	}

	long toRealNanos(long modelMicros) {
		return (long) Math.ceil(modelMicros * NANOS_PER_MICRO / this.scale);
	}

	long toModelMicros(long realMillis) {
		return (long) (realMillis * NANOS_PER_MICRO * this.scale);
	}

	long toRealMillis(long modelMicros) {
		return (long) (modelMicros / NANOS_PER_MICRO / this.scale);
	}

	boolean frozen() {
		return this.frozen;
	}

	void setFrozen(boolean on) {
		if (on && !this.frozen) {
			this.frozenAtNanos = this.nanoTime.getAsLong();
		}
		else if (!on && this.frozen) {
			this.originNanos += this.nanoTime.getAsLong() - this.frozenAtNanos;
		}
		this.frozen = on;
	}

}
