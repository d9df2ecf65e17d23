package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PromptPlacementTests {

	private static final EngineCostModel MODEL = new EngineCostModel(0.925, 0.007, 0.00254, 256, 0.0917, 2048, 46,
			450_000);

	private static final long NOW = 1_000_000;

	private final PromptPlacement policy = new PromptPlacement(new SplittableRandom(3));

	private final WorkTable work = new WorkTable();

	private final List<ForwardEndpoint> engines = new ArrayList<>();

	private long nextRequest = 1;

	PromptPlacementTests() {
		for (int index = 0; index < 16; index++) {
			this.engines.add(new ForwardEndpoint(new EndpointId("engine-" + index), "s", "10.0.0." + (index + 1), 80,
					"zone-" + index % 3, 11, false, 0));
		}
	}

	private static PromptDemand shortPrompt() {
		return new PromptDemand(5000, 1600, 300, 10_000, 200);
	}

	private static PromptDemand longPrompt(long tokens) {
		return new PromptDemand(tokens, 800, 3000, 15_000, 800);
	}

	private Placement place(PromptDemand demand) {
		Placement placement = this.policy.place(demand, this.work.view(this.engines), MODEL, "zone-0", NOW)
			.orElseThrow();
		record(demand, placement, false);
		return placement;
	}

	private void record(PromptDemand demand, Placement placement, boolean decoding) {
		this.work.put(this.nextRequest++,
				new RequestWork(decoding, placement.partPrefillMillis(), demand.memoryTokens(), 0,
						demand.gapTargetMillis(), NOW + demand.firstTokenTimeLeftMillis(),
						NOW + (long) placement.expectedFirstTokenMillis(), demand.weight(),
						WorkTable.hash(placement.endpoint().id()),
						placement.helpers().stream().map((each) -> WorkTable.hash(each.id())).toList()));
	}

	private void recordDecoding(ForwardEndpoint engine, PromptDemand demand) {
		record(demand, new Placement(engine, List.of(), 0, 0, 0), true);
	}

	/** Load: a few short prompts in a fleet of idle engines. */
	@Test
	void fewShortAnswersAreConcentratedOnFewEngines() {
		Set<ForwardEndpoint> used = new HashSet<>();
		for (int count = 0; count < 8; count++) {
			Placement placement = this.policy.place(shortPrompt(), this.work.view(this.engines), MODEL, "zone-0", NOW)
				.orElseThrow();
			used.add(placement.endpoint());
			recordDecoding(placement.endpoint(), shortPrompt());
		}
		assertThat(used.size()).isLessThanOrEqualTo(3);
	}

	/**
	 * Load: a short prompt at each of 25 instances that know of one engine with a short
	 * answer, and not of each other's placements. All chose that engine.
	 */
	@Test
	void shortAnswersAreSpreadWhileTheWorkOfOtherZonesIsUnknown() {
		recordDecoding(this.engines.get(2), shortPrompt());
		Map<ForwardEndpoint, Integer> counts = new HashMap<>();
		for (int instance = 0; instance < 25; instance++) {
			PromptPlacement placement = new PromptPlacement(new SplittableRandom(instance));
			placement.setOtherZonesUnknown(true);
			counts.merge(placement.place(shortPrompt(), this.work.view(this.engines), MODEL, "zone-2", NOW)
				.orElseThrow()
				.endpoint(), 1, Integer::sum);
		}
		assertThat(counts.values()).allMatch((placed) -> placed <= 8);
	}

	/** Load: a burst of short prompts that occupies most of the fleet. */
	@Test
	void burstOfShortAnswersUsesTheSlotsOfAllEnginesBeforeQueueing() {
		Map<ForwardEndpoint, Integer> counts = new HashMap<>();
		for (int count = 0; count < 140; count++) {
			ForwardEndpoint engine = this.policy
				.place(shortPrompt(), this.work.view(this.engines), MODEL, "zone-0", NOW)
				.orElseThrow()
				.endpoint();
			counts.merge(engine, 1, Integer::sum);
			recordDecoding(engine, shortPrompt());
		}
		assertThat(counts.values()).allMatch((slotsInUse) -> slotsInUse <= 11);
		assertThat(counts).hasSize(16);
	}

	/** Load: long prompts while some of the engines generate short answers. */
	@Test
	void longPromptsAvoidEnginesThatGenerateShortAnswers() {
		for (ForwardEndpoint engine : this.engines.subList(0, 4)) {
			for (int count = 0; count < 7; count++) {
				recordDecoding(engine, shortPrompt());
			}
		}
		Set<ForwardEndpoint> shortEngines = Set.copyOf(this.engines.subList(0, 4));
		for (int count = 0; count < 3; count++) {
			Placement placement = place(longPrompt(200_000));
			assertThat(shortEngines).doesNotContain(placement.endpoint());
			assertThat(placement.helpers()).doesNotContainAnyElementsOf(shortEngines);
		}
	}

	/** Load: short prompts arrive while most engines prefill long ones. */
	@Test
	void shortPromptsAvoidEnginesThatPrefillLongOnes() {
		Set<ForwardEndpoint> prefilling = new HashSet<>();
		for (int count = 0; count < 3; count++) {
			Placement placement = place(longPrompt(350_000));
			prefilling.add(placement.endpoint());
			prefilling.addAll(placement.helpers());
		}
		if (prefilling.size() < this.engines.size()) {
			assertThat(prefilling).doesNotContain(place(shortPrompt()).endpoint());
		}
	}

	/** Load: a prompt that would miss its target on a single idle engine. */
	@Test
	void longPromptIsSplitWhenASingleEngineWouldMissItsTarget() {
		Placement placement = place(longPrompt(300_000));
		assertThat(placement.parts()).isGreaterThan(1);
		assertThat(placement.expectedFirstTokenMillis()).isLessThan(3000);
	}

	/** Load: several concurrent long prompts and no short answers. */
	@Test
	void longPromptIsSplitWhileOthersAreBeingPrefilled() {
		place(longPrompt(240_000));
		place(longPrompt(240_000));
		assertThat(place(longPrompt(240_000)).expectedFirstTokenMillis()).isLessThan(3000);
	}

	/**
	 * Load: many prompts of medium length. Split into many parts, they used up the helper
	 * capacity of the engines.
	 */
	@Test
	void shortPromptsAreNotSplitAndMediumPromptsOnlyIntoFewParts() {
		for (long tokens : new long[] { 1000, 5000, 12_000, 23_000 }) {
			assertThat(this.policy
				.place(new PromptDemand(tokens, 1600, 300, 10_000, 200), this.work.view(this.engines), MODEL, "zone-0",
						NOW)
				.orElseThrow()
				.parts()).as("%d tokens", tokens).isEqualTo(1);
		}
		assertThat(this.policy
			.place(new PromptDemand(45_000, 1000, 1500, 10_000, 500), this.work.view(this.engines), MODEL, "zone-0",
					NOW)
			.orElseThrow()
			.parts()).isLessThanOrEqualTo(4);
	}

	/**
	 * Load: all engines prefill prompts that exceed the memory of one engine, which takes
	 * seconds. New parts are processed before theirs, so that a new prompt need not wait
	 * for them.
	 */
	@Test
	void partsOfANewPromptAreProcessedBeforeThoseBeingPrefilled() {
		for (ForwardEndpoint engine : this.engines) {
			this.work.put(this.nextRequest++, new RequestWork(false, 8000, 200_000, 0, 800, NOW - 1, NOW + 8000, 50,
					WorkTable.hash(engine.id()), List.of(1, 2)));
		}
		assertThat(place(longPrompt(150_000)).expectedFirstTokenMillis()).isLessThan(3000);
	}

	/**
	 * Load: some engines prefill prompts whose first tokens are due soon. A part that is
	 * processed before them would make them late.
	 */
	@Test
	void partsAvoidEnginesWithPromptsThatAreDueSoon() {
		Set<ForwardEndpoint> urgent = Set.copyOf(this.engines.subList(0, 8));
		for (ForwardEndpoint engine : urgent) {
			this.work.put(this.nextRequest++, new RequestWork(false, 400, 200_000, 0, 800, NOW + 700, NOW + 400, 14,
					WorkTable.hash(engine.id()), List.of(1, 2)));
		}
		Placement placement = place(longPrompt(250_000));
		assertThat(urgent).doesNotContain(placement.endpoint());
		assertThat(placement.helpers()).doesNotContainAnyElementsOf(urgent);
	}

	/**
	 * Load: a long prompt during a burst of short answers on all engines. Its cost to
	 * others exceeds its benefit on any engine.
	 */
	@Test
	void onlyAShareOfPromptsWhoseCostExceedsTheirBenefitIsRefused() {
		for (ForwardEndpoint engine : this.engines) {
			for (int count = 0; count < 10; count++) {
				recordDecoding(engine, shortPrompt());
			}
		}
		PromptDemand demand = longPrompt(350_000);
		Placement placement = this.policy.place(demand, this.work.view(this.engines), MODEL, "zone-0", NOW)
			.orElseThrow();
		int refused = 0;
		for (int count = 0; count < 30; count++) {
			refused += (this.policy.admits(demand, placement)) ? 0 : 1;
		}
		assertThat(refused).isBetween(8, 15);
	}

	/**
	 * Load: a burst that fills the slots of all engines. A short prompt is late there,
	 * but delays others less than a long one does.
	 */
	@Test
	void shortPromptsAreNotRefusedForTheirCost() {
		for (ForwardEndpoint engine : this.engines) {
			for (int count = 0; count < 14; count++) {
				recordDecoding(engine, shortPrompt());
			}
		}
		for (int count = 0; count < 30; count++) {
			assertThat(this.policy.admits(shortPrompt(), place(shortPrompt()))).isTrue();
		}
	}

	@Test
	void promptsAreAdmittedOnIdleEngines() {
		for (int count = 0; count < 100; count++) {
			PromptDemand demand = (count % 2 == 0) ? longPrompt(400_000) : shortPrompt();
			assertThat(this.policy.admits(demand,
					this.policy.place(demand, this.work.view(this.engines), MODEL, "zone-0", NOW).orElseThrow()))
				.isTrue();
		}
	}

	/**
	 * Load: answers that tolerate gaps together with short ones. On idle engines, they
	 * would occupy slots that long parts can use without delaying others.
	 */
	@Test
	void answersThatTolerateGapsAreCoLocatedWithShortOnes() {
		for (int count = 0; count < 6; count++) {
			recordDecoding(this.engines.get(2), shortPrompt());
		}
		PromptDemand medium = new PromptDemand(20_000, 1000, 1500, 10_000, 500);
		assertThat(place(medium).endpoint()).isEqualTo(this.engines.get(2));
	}

	@Test
	void engineWithManyHelperPrefillsGetsNoFurtherParts() {
		ForwardEndpoint busy = this.engines.get(0);
		for (long request = 1000; request < 1006; request++) {
			this.work.put(request, new RequestWork(false, 1, 0, 0, 800, NOW + 3000, NOW + 1, 1,
					WorkTable.hash(new EndpointId("elsewhere")), List.of(WorkTable.hash(busy.id()))));
		}
		for (int count = 0; count < 5; count++) {
			assertThat(place(longPrompt(300_000)).helpers()).doesNotContain(busy);
		}
	}

	@Test
	void promptLargerThanAnyEnginesMemoryIsPlacedOnSeveral() {
		PromptDemand huge = longPrompt(800_000);
		assertThat(this.policy.place(huge, this.work.view(this.engines), MODEL, "zone-0", NOW)).isEmpty();
		Placement placement = this.policy.placeAcrossMemories(huge, this.work.view(this.engines), MODEL, "zone-0", NOW)
			.orElseThrow();
		assertThat(placement.parts()).isBetween(2, 16);
		assertThat(huge.memoryTokens() / placement.parts()).isLessThan(450_000);
	}

	@Test
	void returnsEmptyWithoutMemoryOnEnoughEngines() {
		for (ForwardEndpoint engine : this.engines) {
			recordDecoding(engine, longPrompt(430_000));
		}
		assertThat(this.policy.placeAcrossMemories(longPrompt(900_000), this.work.view(this.engines), MODEL, "zone-0",
				NOW))
			.isEmpty();
	}

	@Test
	void workOfPeersIsCountedUntilItExpires() {
		Map<Long, RequestWork> reported = new HashMap<>();
		for (long index = 0; index < 15; index++) {
			reported.put(index, new RequestWork(false, 900, 200_000, 0, 800, NOW + 3000, NOW + 900, 14,
					WorkTable.hash(this.engines.get((int) index).id()), List.of()));
		}
		this.work.replacePeerWork("peer", reported, NOW);
		assertThat(place(shortPrompt()).endpoint()).isEqualTo(this.engines.get(15));
		this.work.expire(NOW + WorkTable.PEER_REPORT_TTL_MILLIS + 1);
		assertThat(this.work.view(this.engines).get(0).items()).isEmpty();
	}

	@Test
	void changesOfAPeerAddAndRemoveWork() {
		RequestWork one = new RequestWork(true, 0, 100, 0, 200, 0, 0, 1, WorkTable.hash(this.engines.get(0).id()),
				List.of());
		this.work.replacePeerWork("peer", Map.of(1L, one), NOW);
		this.work.applyPeerChanges("peer", Map.of(2L, one), List.of(1L), NOW);
		assertThat(this.work.view(this.engines).get(0).items()).hasSize(1);
		this.work.applyPeerChanges("peer", Map.of(), List.of(2L), NOW);
		assertThat(this.work.view(this.engines).get(0).items()).isEmpty();
		assertThat(Optional.of(this.work.view(this.engines).get(0).decodingRequests())).contains(0);
	}

}
