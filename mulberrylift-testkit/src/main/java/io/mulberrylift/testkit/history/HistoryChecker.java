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
 * Judges the promises of the system from a history alone.
 *
 * <p>
 * Executions of models carry no idempotency key, so they are matched by the fingerprint
 * of the prompt: give different requests different prompts. Utility class without state,
 * safe for use by several threads.
 * </p>
 */
public final class HistoryChecker {

	private HistoryChecker() {
	}

	/**
	 * Judges a history.
	 * @param history the events in any order
	 * @param limits what to judge by
	 * @return the broken promises, empty when all hold
	 */
	public static List<Violation> check(List<HistoryEvent> history, CheckLimits limits) {
		List<HistoryEvent> events = history.stream()
			.sorted(Comparator.comparingLong(HistoryEvent::atEpochMillis))
			.toList();
		SendIndex sends = new SendIndex(events);
		List<Violation> found = new ArrayList<>();
		checkAnswers(sends, found);
		checkAtMostOnce(sends, found);
		checkNotRun(sends, found);
		checkDeadlines(sends, limits, found);
		checkHolds(events, found);
		checkLeaving(events, limits, found);
		checkConfiguration(events, found);
		return found;
	}

	private static void checkAnswers(SendIndex sends, List<Violation> found) {
		for (HistoryEvent.Answer answer : sends.answers()) {
			Optional<HistoryEvent.Invoke> invoke = sends.invoke(answer.sendId());
			if (invoke.isEmpty()) {
				found.add(new Violation(Guarantee.WHOLE_OWN_ANSWER, answer.sendId(), "answer without a send"));
			}
			else if (answer.result() == AnswerResult.WHOLE && answer.textHash() != expectedHash(invoke.get())) {
				found.add(new Violation(Guarantee.WHOLE_OWN_ANSWER, answer.sendId(),
						"the text is not the whole answer to this request"));
			}
		}
		sends.invokes()
			.filter((invoke) -> sends.answers(invoke.sendId()).size() > 1)
			.forEach((invoke) -> found
				.add(new Violation(Guarantee.WHOLE_OWN_ANSWER, invoke.sendId(), "more than one answer to one send")));
	}

	private static long expectedHash(HistoryEvent.Invoke invoke) {
		if (invoke.kind() == WorkKind.SERVICE) {
			return AnswerText.promptHash(ServiceReceipt.text(invoke.fingerprint()));
		}
		int tokens = AnswerText.answerTokens(invoke.fingerprint(), invoke.maxOutputTokens());
		return AnswerText.promptHash(AnswerText.text(invoke.target(), invoke.fingerprint(), 0, tokens));
	}

	private static void checkAtMostOnce(SendIndex sends, List<Violation> found) {
		Map<String, HistoryEvent.Invoke> byKey = sends.invokes()
			.filter((invoke) -> !invoke.idempotent())
			.collect(Collectors.toMap(HistoryChecker::requestName, (invoke) -> invoke, (first, later) -> first,
					TreeMap::new));
		byKey.forEach((key, invoke) -> {
			int runs = sends.runs(invoke).size();
			if (runs > 1) {
				found.add(new Violation(Guarantee.AT_MOST_ONCE, key, "ran " + runs + " times"));
			}
		});
	}

	private static String requestName(HistoryEvent.Invoke invoke) {
		return invoke.key().isEmpty() ? invoke.sendId() : invoke.key();
	}

	private static void checkNotRun(SendIndex sends, List<Violation> found) {
		sends.invokes().filter(sends::refusedAsNotRun).forEach((refused) -> {
			for (HistoryEvent.Run run : sends.runs(refused)) {
				boolean sameWork = run.fingerprint() == refused.fingerprint();
				if (sameWork && !explainedByOtherSend(sends, run, refused)) {
					found.add(new Violation(Guarantee.NOT_RUN_IS_TRUE, refused.sendId(),
							"ran on " + run.endpoint() + " as " + run.executionId()));
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

	private static void checkDeadlines(SendIndex sends, CheckLimits limits, List<Violation> found) {
		sends.invokes().forEach((invoke) -> {
			long latest = invoke.deadlineEpochMillis() + limits.deadlineGraceMillis();
			List<HistoryEvent.Answer> answers = sends.answers(invoke.sendId());
			if (answers.isEmpty() && latest <= limits.endEpochMillis()) {
				found.add(new Violation(Guarantee.ANSWERED_BY_DEADLINE, invoke.sendId(), "no answer"));
			}
			for (HistoryEvent.Answer answer : answers) {
				if (answer.atEpochMillis() > latest) {
					found.add(new Violation(Guarantee.ANSWERED_BY_DEADLINE, invoke.sendId(),
							"answered " + (answer.atEpochMillis() - invoke.deadlineEpochMillis()) + " ms late"));
				}
			}
		});
	}

	private static void checkHolds(List<HistoryEvent> events, List<Violation> found) {
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
		heldTokens.forEach((endpoint, holds) -> holds.forEach((name, tokens) -> found
			.add(new Violation(Guarantee.HOLDS_RETURN, endpoint, tokens + " tokens still held as " + name))));
	}

	private static String holdName(String owner, long ownerIncarnation, long holdId) {
		return owner + "/" + ownerIncarnation + "/" + holdId;
	}

	private static void checkLeaving(List<HistoryEvent> events, CheckLimits limits, List<Violation> found) {
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
					found.add(new Violation(Guarantee.LEAVING_GETS_NO_NEW_WORK, work.endpoint(),
							"accepted " + work.executionId() + " after " + afterMillis + " ms"));
				}
			}
		}
	}

	private static void checkConfiguration(List<HistoryEvent> events, List<Violation> found) {
		Map<String, Long> versions = new HashMap<>();
		for (HistoryEvent event : events) {
			if (event instanceof HistoryEvent.InForce inForce) {
				long before = versions.getOrDefault(inForce.instance(), inForce.version());
				if (inForce.version() < before) {
					found.add(new Violation(Guarantee.CONFIGURATION_NEVER_REVERTS, inForce.instance(),
							"version " + before + " gave way to " + inForce.version()));
				}
				versions.put(inForce.instance(), inForce.version());
			}
		}
	}

}
