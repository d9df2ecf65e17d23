package io.mulberrylift.testkit.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.testkit.engine.AnswerText;
import io.mulberrylift.testkit.service.ServiceReceipt;

/**
 * Checks the guarantees of the system against a recorded history.
 *
 * <p>
 * Model executions carry no idempotency key and are matched by the fingerprint of the
 * prompt, so different requests must have different prompts. Stateless and safe for use
 * by several threads.
 * </p>
 */
public final class HistoryChecker {

	private HistoryChecker() {
	}

	/**
	 * Finds the guarantees that a history violates.
	 * @param history the events in any order
	 * @param limits the tolerances
	 * @return the violations, empty if all guarantees hold
	 */
	public static List<Violation> check(List<HistoryEvent> history, CheckLimits limits) {
		List<HistoryEvent> events = history.stream()
			.sorted(Comparator.comparingLong(HistoryEvent::atEpochMillis))
			.toList();
		SendIndex sends = new SendIndex(events);
		List<Violation> violations = new ArrayList<>();
		checkAnswers(sends, violations);
		checkAtMostOnce(sends, violations);
		checkNotRun(sends, violations);
		checkDeadlines(sends, limits, violations);
		checkHolds(events, violations);
		checkLeaving(events, limits, violations);
		checkConfiguration(events, violations);
		return violations;
	}

	private static void checkAnswers(SendIndex sends, List<Violation> violations) {
		for (HistoryEvent.Answer answer : sends.answers()) {
			Optional<HistoryEvent.Invoke> invoke = sends.invoke(answer.sendId());
			if (invoke.isEmpty()) {
				violations.add(new Violation(Guarantee.WHOLE_OWN_ANSWER, answer.sendId(), "answer to an unknown send"));
			}
			else if (answer.result() == AnswerResult.WHOLE && answer.textHash() != expectedHash(invoke.get())) {
				violations.add(new Violation(Guarantee.WHOLE_OWN_ANSWER, answer.sendId(),
						"the text is not the complete answer to this request"));
			}
		}
		sends.invokes()
			.filter((invoke) -> sends.answers(invoke.sendId()).size() > 1)
			.forEach((invoke) -> violations.add(new Violation(Guarantee.WHOLE_OWN_ANSWER, invoke.sendId(),
					"the send was answered more than once")));
	}

	private static long expectedHash(HistoryEvent.Invoke invoke) {
		if (invoke.kind() == WorkKind.SERVICE) {
			return AnswerText.promptHash(ServiceReceipt.text(invoke.fingerprint()));
		}
		int tokens = AnswerText.answerTokens(invoke.fingerprint(), invoke.maxOutputTokens());
		return AnswerText.promptHash(AnswerText.text(invoke.target(), invoke.fingerprint(), 0, tokens));
	}

	private static void checkAtMostOnce(SendIndex sends, List<Violation> violations) {
		Map<String, HistoryEvent.Invoke> byKey = sends.invokes()
			.filter((invoke) -> !invoke.idempotent())
			.collect(Collectors.toMap(HistoryChecker::requestName, (invoke) -> invoke, (first, later) -> first,
					TreeMap::new));
		byKey.forEach((key, invoke) -> {
			int runs = sends.runs(invoke).size();
			if (runs > 1) {
				violations.add(new Violation(Guarantee.AT_MOST_ONCE, key,
						"executed " + runs + " times, at most once expected"));
			}
		});
	}

	private static String requestName(HistoryEvent.Invoke invoke) {
		return invoke.key().isEmpty() ? invoke.sendId() : invoke.key();
	}

	private static void checkNotRun(SendIndex sends, List<Violation> violations) {
		sends.invokes().filter(sends::refusedAsNotRun).forEach((refused) -> {
			for (HistoryEvent.Run run : sends.runs(refused)) {
				boolean sameFingerprint = run.fingerprint() == refused.fingerprint();
				if (sameFingerprint && !explainedByOtherSend(sends, run, refused)) {
					violations.add(new Violation(Guarantee.NOT_RUN_IS_TRUE, refused.sendId(),
							"refused as not run, but executed on " + run.endpoint() + " as " + run.executionId()));
				}
			}
		});
	}

	private static boolean explainedByOtherSend(SendIndex sends, HistoryEvent.Run run, HistoryEvent.Invoke refused) {
		return sends.withSameFingerprint(refused)
			.stream()
			.filter((other) -> other.atEpochMillis() <= run.atEpochMillis() && !sends.refusedAsNotRun(other))
			.filter((other) -> run.key().isEmpty() || other.key().equals(run.key()))
			.anyMatch((other) -> !isEarlierSendOfSameKey(other, refused));
	}

	private static boolean isEarlierSendOfSameKey(HistoryEvent.Invoke other, HistoryEvent.Invoke refused) {
		return !refused.key().isEmpty() && other.key().equals(refused.key())
				&& other.atEpochMillis() < refused.atEpochMillis();
	}

	private static void checkDeadlines(SendIndex sends, CheckLimits limits, List<Violation> violations) {
		sends.invokes().forEach((invoke) -> {
			long latestMillis = invoke.deadlineEpochMillis() + limits.deadlineGraceMillis();
			List<HistoryEvent.Answer> answers = sends.answers(invoke.sendId());
			if (answers.isEmpty() && latestMillis <= limits.endEpochMillis()) {
				violations
					.add(new Violation(Guarantee.ANSWERED_BY_DEADLINE, invoke.sendId(), "no answer by the deadline"));
			}
			for (HistoryEvent.Answer answer : answers) {
				if (answer.atEpochMillis() > latestMillis) {
					violations.add(new Violation(Guarantee.ANSWERED_BY_DEADLINE, invoke.sendId(), "answered "
							+ (answer.atEpochMillis() - invoke.deadlineEpochMillis()) + " ms after the deadline"));
				}
			}
		});
	}

	private static void checkHolds(List<HistoryEvent> events, List<Violation> violations) {
		Map<String, Map<String, Long>> heldTokens = new TreeMap<>();
		for (HistoryEvent event : events) {
			if (event instanceof HistoryEvent.Started started) {
				heldTokens.remove(started.endpoint());
			}
			else if (event instanceof HistoryEvent.Hold hold) {
				heldTokens.computeIfAbsent(hold.endpoint(), (endpoint) -> new TreeMap<>())
					.put(holdName(hold.owner(), hold.ownerIncarnation(), hold.holdId()), hold.tokens());
			}
			else if (event instanceof HistoryEvent.Release release && heldTokens.containsKey(release.endpoint())) {
				heldTokens.get(release.endpoint())
					.remove(holdName(release.owner(), release.ownerIncarnation(), release.holdId()));
			}
		}
		heldTokens.forEach((endpoint, holds) -> holds.forEach((name, tokens) -> violations.add(
				new Violation(Guarantee.HOLDS_RETURN, endpoint, tokens + " tokens never released from hold " + name))));
	}

	private static String holdName(String owner, long ownerIncarnation, long holdId) {
		return owner + "/" + ownerIncarnation + "/" + holdId;
	}

	private static void checkLeaving(List<HistoryEvent> events, CheckLimits limits, List<Violation> violations) {
		Map<String, Long> leavingSince = new HashMap<>();
		for (HistoryEvent event : events) {
			if (event instanceof HistoryEvent.Leaving leaving && !leaving.leaving()) {
				leavingSince.remove(leaving.endpoint());
			}
			else if (event instanceof HistoryEvent.Leaving leaving) {
				leavingSince.putIfAbsent(leaving.endpoint(), leaving.atEpochMillis());
			}
			else if (event instanceof HistoryEvent.NewWork work && leavingSince.containsKey(work.endpoint())) {
				long afterMillis = work.atEpochMillis() - leavingSince.get(work.endpoint());
				if (afterMillis > limits.leavingLimitMillis()) {
					violations.add(new Violation(Guarantee.LEAVING_GETS_NO_NEW_WORK, work.endpoint(), "accepted "
							+ work.executionId() + " " + afterMillis + " ms after it was marked as leaving"));
				}
			}
		}
	}

	private static void checkConfiguration(List<HistoryEvent> events, List<Violation> violations) {
		Map<String, Long> versions = new HashMap<>();
		for (HistoryEvent event : events) {
			if (event instanceof HistoryEvent.InForce inForce) {
				long previous = versions.getOrDefault(inForce.instance(), inForce.version());
				if (inForce.version() < previous) {
					violations.add(new Violation(Guarantee.CONFIGURATION_NEVER_REVERTS, inForce.instance(),
							"version " + previous + " was replaced by the older version " + inForce.version()));
				}
				versions.put(inForce.instance(), inForce.version());
			}
		}
	}

}
