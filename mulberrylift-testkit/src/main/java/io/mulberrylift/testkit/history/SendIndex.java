package io.mulberrylift.testkit.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.mulberrylift.core.model.WorkKind;

/**
 * Index of the sends and executions of a history by key and fingerprint. Immutable after
 * construction.
 */
final class SendIndex {

	private final Map<String, HistoryEvent.Invoke> invokes = new LinkedHashMap<>();

	private final Map<String, List<HistoryEvent.Answer>> answers = new HashMap<>();

	private final Map<Long, List<HistoryEvent.Invoke>> invokesByFingerprint;

	private final Map<Long, List<HistoryEvent.Run>> runsByFingerprint;

	private final Map<String, List<HistoryEvent.Run>> runsByKey;

	SendIndex(List<HistoryEvent> events) {
		List<HistoryEvent.Run> runs = new ArrayList<>();
		for (HistoryEvent event : events) {
			if (event instanceof HistoryEvent.Invoke invoke) {
				this.invokes.put(invoke.sendId(), invoke);
			}
			else if (event instanceof HistoryEvent.Answer answer) {
				this.answers.computeIfAbsent(answer.sendId(), (id) -> new ArrayList<>()).add(answer);
			}
			else if (event instanceof HistoryEvent.Run run) {
				runs.add(run);
			}
		}
		this.invokesByFingerprint = this.invokes.values()
			.stream()
			.collect(Collectors.groupingBy(HistoryEvent.Invoke::fingerprint));
		this.runsByFingerprint = runs.stream().collect(Collectors.groupingBy(HistoryEvent.Run::fingerprint));
		this.runsByKey = runs.stream()
			.filter((run) -> !run.key().isEmpty())
			.collect(Collectors.groupingBy(HistoryEvent.Run::key));
	}

	Stream<HistoryEvent.Invoke> invokes() {
		return this.invokes.values().stream();
	}

	Optional<HistoryEvent.Invoke> invoke(String sendId) {
		return Optional.ofNullable(this.invokes.get(sendId));
	}

	List<HistoryEvent.Answer> answers(String sendId) {
		return this.answers.getOrDefault(sendId, List.of());
	}

	List<HistoryEvent.Answer> answers() {
		return this.answers.values().stream().flatMap(List::stream).toList();
	}

	boolean refusedAsNotRun(HistoryEvent.Invoke invoke) {
		return answers(invoke.sendId()).stream().anyMatch((answer) -> answer.result() == AnswerResult.NOT_RUN);
	}

	/**
	 * Returns the executions of the request of a send: those with its key or, for models
	 * and requests without a key, those with its fingerprint whose endpoint received no
	 * key.
	 * @param invoke the send
	 * @return the executions
	 */
	List<HistoryEvent.Run> runs(HistoryEvent.Invoke invoke) {
		if (invoke.kind() == WorkKind.SERVICE && !invoke.key().isEmpty()) {
			return this.runsByKey.getOrDefault(invoke.key(), List.of());
		}
		return this.runsByFingerprint.getOrDefault(invoke.fingerprint(), List.of())
			.stream()
			.filter((run) -> run.key().isEmpty())
			.toList();
	}

	/**
	 * Returns the sends of the same prompt or body, including the given one.
	 * @param invoke the send
	 * @return the sends with its fingerprint
	 */
	List<HistoryEvent.Invoke> withSameFingerprint(HistoryEvent.Invoke invoke) {
		return this.invokesByFingerprint.get(invoke.fingerprint());
	}

}
