package io.mulberrylift.core.forwarding;

/**
 * Tells a stream whose engine is dead, or that has stopped, from one whose engine only
 * reads prompts and sends nothing meanwhile.
 *
 * <p>
 * Stateless and thread-safe. Silence alone is no sign of death, since an instance knows
 * only part of what an engine reads. Shortly before silence would count as death, the
 * engine is probed by a connection. It is dead if it shows nothing after that: no byte
 * and no connection. If it shows something, the stream is left where it is until no known
 * reading explains the silence and another engine could just begin before its caller
 * leaves; one that has not begun, as long as other streams of its engine advance.
 * </p>
 */
final class StallDetector {

	/**
	 * Time that a probed engine has to accept a connection, in milliseconds; several
	 * round trips beside other work of this instance.
	 */
	static final long PROBE_MILLIS = 120;

	/**
	 * Time before the end of an engine's silence at which it is probed, in milliseconds;
	 * longer than the time that it has by two ticks. Most silences end before it.
	 */
	private static final long LEAD_MILLIS = 160;

	/** Interval of checks of a stream that is left where it is, in milliseconds. */
	static final long RECHECK_MILLIS = 200;

	/**
	 * Maximum time for which a sign of life of an engine stands for it, in milliseconds.
	 */
	private static final long MAX_SIGN_MILLIS = 2000;

	/** The same as a share of the stall timeout. */
	private static final double SIGN_SHARE = 0.6;

	/** Longest time between two messages of a peer that is not suspended. */
	private static final long PEER_SILENCE_MILLIS = 1300;

	private StallDetector() {
	}

	/**
	 * Returns when a stream is to be judged for the first time.
	 * @param silence the stream
	 * @return the time in milliseconds, early enough for a probe
	 */
	static long firstCheckMillis(StreamSilence silence) {
		return silence.sinceMillis() + silence.timeoutMillis() - LEAD_MILLIS;
	}

	/**
	 * Judges a silent stream.
	 * @param silence the stream
	 * @param signs what its engine has shown, and what it is known to read
	 * @param nowMillis the current time
	 * @return what to do
	 */
	static Judgement judge(StreamSilence silence, EngineSigns signs, long nowMillis) {
		long signMillis = Math.min(MAX_SIGN_MILLIS, (long) (SIGN_SHARE * silence.stallMillis()));
		long outputUntilMillis = signs.outputMillis() + signMillis + signs.iterationMillis();
		long deadMillis = Math.max(silence.sinceMillis() + silence.timeoutMillis(),
				Math.max(outputUntilMillis, signs.signMillis() + signMillis));
		boolean othersAdvance = nowMillis < outputUntilMillis;
		long stoppedMillis = silence.sinceMillis() + Math.max(silence.timeoutMillis(), silence.lastStallMillis())
				+ signs.readingMillis();
		boolean mayBeStopped = silence.begun() || !othersAdvance;
		if (mayBeStopped && nowMillis >= stoppedMillis && nowMillis < deadMillis) {
			return new Judgement(Verdict.STOPPED, nowMillis + RECHECK_MILLIS);
		}
		if (nowMillis < deadMillis - LEAD_MILLIS) {
			return judgement(Verdict.SOUND, deadMillis - LEAD_MILLIS, stoppedMillis, nowMillis);
		}
		long shownMillis = Math.max(silence.sinceMillis(), Math.max(signs.outputMillis(), signs.signMillis()));
		if (silence.mayProbe() && signs.probeMillis() <= shownMillis) {
			return judgement(Verdict.UNKNOWN, Math.max(deadMillis, nowMillis + PROBE_MILLIS), stoppedMillis, nowMillis);
		}
		long decidedMillis = (silence.mayProbe()) ? Math.max(deadMillis, signs.probeMillis() + PROBE_MILLIS)
				: deadMillis;
		return (nowMillis < decidedMillis) ? judgement(Verdict.SOUND, decidedMillis, stoppedMillis, nowMillis)
				: new Judgement(Verdict.DEAD, nowMillis + RECHECK_MILLIS);
	}

	private static Judgement judgement(Verdict verdict, long recheckMillis, long stoppedMillis, long nowMillis) {
		return new Judgement(verdict,
				(nowMillis < stoppedMillis) ? Math.min(recheckMillis, stoppedMillis) : recheckMillis);
	}

	/**
	 * Returns when a stream that a peer has is to be handed to another one: the peer
	 * judges the stream itself unless it is suspended or unreachable.
	 * @param sinceMillis when the last chunk was received or the stream was handed over
	 * @param lastStallMillis time without a chunk after which another peer is tried
	 * @param heardMillis when the last message of the peer was received
	 * @return the time in milliseconds
	 */
	static long peerSilentMillis(long sinceMillis, long lastStallMillis, long heardMillis) {
		return Math.max(sinceMillis + lastStallMillis, heardMillis + PEER_SILENCE_MILLIS);
	}

	/**
	 * What is to be done about a stream.
	 */
	enum Verdict {

		/** Nothing: it can be explained, or a probe is not answered yet. */
		SOUND,

		/** Its engine is to be probed. */
		UNKNOWN,

		/** Its engine shows nothing at all. */
		DEAD,

		/** Its engine lives, but the stream does not advance. */
		STOPPED

	}

	/**
	 * A verdict.
	 *
	 * @param verdict the verdict
	 * @param recheckMillis when to judge again
	 */
	record Judgement(Verdict verdict, long recheckMillis) {
	}

	/**
	 * A stream without chunks.
	 *
	 * @param sinceMillis when the last chunk was received or the request was sent
	 * @param begun whether a chunk was received in this attempt
	 * @param timeoutMillis time after which silence may mean death
	 * @param stallMillis the same for a stream that has begun
	 * @param lastStallMillis time after which its caller will leave soon
	 * @param mayProbe whether a probe is worth a connection, since the stream can be
	 * moved
	 */
	record StreamSilence(long sinceMillis, boolean begun, long timeoutMillis, long stallMillis, long lastStallMillis,
			boolean mayProbe) {
	}

	/**
	 * What is known of an engine. Times in the far past stand for never.
	 *
	 * @param outputMillis when the last chunk of any answer was received
	 * @param signMillis when the last other byte was received or a connection established
	 * @param probeMillis when the engine was last probed
	 * @param iterationMillis longest known iteration without output
	 * @param readingMillis time that all the reading known to be there may take before
	 * this stream advances
	 */
	record EngineSigns(long outputMillis, long signMillis, long probeMillis, long iterationMillis, long readingMillis) {
	}

}
