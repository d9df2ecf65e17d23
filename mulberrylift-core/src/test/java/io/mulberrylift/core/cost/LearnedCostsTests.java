package io.mulberrylift.core.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.gossip.CostFigure;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.ObservedLoad;
import io.mulberrylift.core.placement.RequestWork;
import io.mulberrylift.core.placement.WorkTable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class LearnedCostsTests {

	private static final CostSubject ROUTE = CostSubject.of("service", "route");

	private final LearnedCosts costs = new LearnedCosts();

	private final WorkTable work = new WorkTable();

	private long nowMillis = 1000;

	private long nextRequest = 1;

	private static ForwardEndpoint endpoint(String id, long startedEpochMillis) {
		return new ForwardEndpoint(new EndpointId(id), "service", "10.0.0.1", 80, "z", 6, false, 0, startedEpochMillis);
	}

	private CompletionEstimate estimate(String id) {
		EndpointWork view = this.work.view(List.of(endpoint(id, 0))).get(0);
		return this.costs.estimate(view, ROUTE, this.nowMillis);
	}

	private void complete(String id, CostSubject subject, int count, long millis) {
		for (int index = 0; index < count; index++) {
			long request = this.nextRequest++;
			this.costs.sent(request, endpoint(id, 0), subject, estimate(id), this.nowMillis);
			this.nowMillis += millis;
			this.costs.completed(request, this.nowMillis);
		}
	}

	@Test
	void knowsNothingAtFirstAndCountsRequestsPerSlot() {
		assertThat(estimate("e1")).isEqualTo(CompletionEstimate.unknown(0, 6));
	}

	@Test
	void endpointThatIsNewBeginsFromTheFiguresOfItsService() {
		complete("e1", ROUTE, 10, 30);
		assertThat(estimate("new").totalMillis()).isCloseTo(30, within(2.0));
		assertThat(estimate("new").observations()).isEqualTo(10);
	}

	@Test
	void routeThatIsNewBeginsFromTheFiguresOfItsService() {
		complete("e1", CostSubject.of("service", "other"), 10, 30);
		assertThat(estimate("e1").totalMillis()).isCloseTo(30, within(2.0));
	}

	@Test
	void requestThatOutlastsTheUsualTimeIsExpectedToBeALongOne() {
		complete("e1", ROUTE, 19, 20);
		complete("e2", ROUTE, 1, 400);
		for (int index = 0; index < 12; index++) {
			this.costs.sent(900 + index, endpoint("e1", 0), ROUTE, estimate("e1"), this.nowMillis);
		}
		double before = estimate("e1").cost();
		this.nowMillis += 60;
		assertThat(estimate("e1").cost()).isGreaterThan(before);
	}

	@Test
	void slowEndpointIsForgottenWhenItStartsAgain() {
		this.costs.endpointsListed(List.of(endpoint("e1", 1), endpoint("e2", 1)));
		complete("e2", ROUTE, 30, 30);
		complete("e1", ROUTE, 10, 240);
		assertThat(estimate("e1").paceFactor()).isGreaterThan(1.5);
		this.costs.endpointsListed(List.of(endpoint("e1", 2), endpoint("e2", 1)));
		assertThat(estimate("e1").paceFactor()).isEqualTo(1);
	}

	@Test
	void reportedLoadCountsRequestsOfOthersOnceAndLosesItsMeaning() {
		complete("e2", ROUTE, 10, 30);
		this.costs.sent(900, endpoint("e1", 0), ROUTE, estimate("e1"), this.nowMillis);
		double own = estimate("e1").cost();
		this.costs.loadReported(endpoint("e1", 0), new ObservedLoad(1, 0, 6), this.nowMillis);
		assertThat(estimate("e1").cost()).isEqualTo(own);
		this.costs.loadReported(endpoint("e1", 0), new ObservedLoad(6, 12, 6), this.nowMillis);
		assertThat(estimate("e1").waitMillis()).isGreaterThan(20);
		this.costs.ended(900, this.nowMillis);
		this.nowMillis += 2000;
		assertThat(estimate("e1").cost()).isCloseTo(0, within(0.01));
	}

	@Test
	void absurdLoadOfAnEndpointIsBounded() {
		complete("e2", ROUTE, 10, 30);
		this.costs.loadReported(endpoint("e1", 0), new ObservedLoad(Integer.MAX_VALUE, Integer.MAX_VALUE, 0),
				this.nowMillis);
		assertThat(estimate("e1").waitMillis()).isLessThan(16 * 30);
	}

	@Test
	void observationsArriveAtPeersOnceAndInFewFigures() {
		complete("e1", ROUTE, 40, 30);
		LearnedCosts peer = new LearnedCosts();
		List<CostFigure> figures = this.costs.pollPublished(8);
		assertThat(figures).hasSizeLessThanOrEqualTo(8);
		peer.applyFromPeer(figures, this.nowMillis);
		EndpointWork view = this.work.view(List.of(endpoint("e9", 0))).get(0);
		assertThat(peer.estimate(view, ROUTE, this.nowMillis).totalMillis()).isCloseTo(30, within(2.0));
		assertThat(this.costs.pollPublished(8)).isEmpty();
		assertThat(peer.pollPublished(8)).isEmpty();
	}

	@Test
	void figuresThatThisBuildDoesNotKnowAndAbsurdOnesAreSkipped() {
		this.costs.applyFromPeer(List.of(new CostFigure(1, 2, 5, 1), new CostFigure(1, 3, 5, 1),
				new CostFigure(1, 0, Long.MAX_VALUE, 1), new CostFigure(1, 1, Long.MAX_VALUE, 1)), this.nowMillis);
		assertThat(this.costs.size()).isZero();
	}

	@Test
	void manySubjectsCannotFillMemory() {
		List<CostFigure> figures = new ArrayList<>();
		for (int subject = 0; subject < 5000; subject++) {
			figures.add(new CostFigure(subject, 4 * (subject % 60_000), 30, Long.MAX_VALUE));
			figures.add(new CostFigure(subject, 1, 200, 1));
		}
		this.costs.applyFromPeer(figures, this.nowMillis);
		assertThat(this.costs.size()).isLessThanOrEqualTo(4 * 512);
		for (int route = 0; route < 5000; route++) {
			complete("e1", CostSubject.of("service", "route-" + route), 1, 30);
		}
		assertThat(this.costs.size()).isLessThanOrEqualTo(4 * 512);
		assertThat(this.costs.pollPublished(Integer.MAX_VALUE)).hasSizeLessThanOrEqualTo(128);
	}

	@Test
	void requestOfAPeerCountsLessOnceItsExpectedEndHasPassedAndAPromptCountsAsOne() {
		complete("e2", ROUTE, 10, 30);
		this.work.replacePeerWork("peer", Map.of(1L, new RequestWork(false, 0, 0, 0, 0, this.nowMillis,
				this.nowMillis + 30, 1, WorkTable.hash(new EndpointId("e1")), List.of())), this.nowMillis);
		double fresh = estimate("e1").cost();
		this.nowMillis += 100;
		assertThat(estimate("e1").cost()).isLessThan(0.6 * fresh);
		this.work.replacePeerWork("peer", Map.of(1L, new RequestWork(false, 20, 500, 0, 200, this.nowMillis - 900,
				this.nowMillis + 900, 1, WorkTable.hash(new EndpointId("e1")), List.of())), this.nowMillis);
		assertThat(estimate("e1").cost()).isCloseTo(1 / 6.0, within(0.01));
	}

	@Test
	void attemptsThatFailedTeachNothing() {
		for (int index = 0; index < 20; index++) {
			this.costs.sent(index, endpoint("e1", 0), ROUTE, estimate("e1"), this.nowMillis);
			this.costs.ended(index, this.nowMillis);
			this.costs.completed(index, this.nowMillis + 1);
		}
		assertThat(this.costs.size()).isZero();
	}

}
