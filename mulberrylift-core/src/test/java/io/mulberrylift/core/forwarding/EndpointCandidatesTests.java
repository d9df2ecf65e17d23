package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.mulberrylift.core.limit.EndpointBackOffs;
import io.mulberrylift.core.limit.FleetView;
import io.mulberrylift.core.limit.RequestLimitReport;
import io.mulberrylift.core.limit.RequestLimits;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.WorkTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointCandidatesTests {

	private final EndpointTable endpoints = new EndpointTable();

	private final WorkTable work = new WorkTable();

	private final RequestLimits limits = new RequestLimits(FleetView.alone("self", "zone-a"), new SplittableRandom(1));

	private final EndpointBackOffs backOffs = new EndpointBackOffs();

	private final EndpointCandidates candidates = new EndpointCandidates(this.endpoints, this.work, this.limits,
			this.backOffs);

	private final ForwardState state = new ForwardState(1,
			new ForwardRequest("a", "api.example", "/read/x", Optional.empty(), 5000, 0, 0, 1, List.of(),
					Optional.empty()),
			GatewayFixture.route("/read/", "plain", RequestKind.IDEMPOTENT, 2), "plain", Optional.empty(), 0);

	@BeforeEach
	void listEndpoints() {
		this.endpoints.replace(
				List.of(GatewayFixture.endpoint("p1", "plain", false), GatewayFixture.endpoint("p2", "plain", false),
						GatewayFixture.endpoint("p3", "plain", true), GatewayFixture.endpoint("e1", "engines", false)));
	}

	private List<String> found(long nowMillis) {
		return names(this.candidates.find(this.state, nowMillis));
	}

	private static List<String> names(List<EndpointWork> found) {
		return found.stream().map((each) -> each.endpoint().id().value()).toList();
	}

	private void limit(String endpoint) {
		this.limits.apply(new EndpointId(endpoint), "zone-a", RequestLimitReport.of(1), Optional.of(0L), 0);
	}

	@Test
	void leavingAndTriedEndpointsAndThoseOfOtherServicesAreNoCandidates() {
		assertThat(found(0)).containsExactly("p1", "p2");
		this.state.triedEndpoints.add(new EndpointId("p1"));
		assertThat(found(0)).containsExactly("p2");
	}

	@Test
	void avoidedEndpointsAreUsedOnlyIfThereAreNoOthers() {
		this.work.health(new EndpointId("p1")).recordFault(0);
		assertThat(found(0)).containsExactly("p2");
		this.work.health(new EndpointId("p2")).recordFault(0);
		assertThat(found(0)).containsExactly("p1", "p2");
	}

	@Test
	void limitedEndpointsAreCandidatesWhenTheirLimitHasRoom() {
		limit("p1");
		assertThat(found(999)).containsExactly("p2");
		assertThat(this.candidates.acceptedInMillis(this.state, 400)).isZero();
		assertThat(names(this.candidates.withoutLimit(this.candidates.find(this.state, 1000)))).containsExactly("p2");
		assertThat(found(1000)).containsExactly("p1", "p2");
	}

	@Test
	void causeOfMissingCandidatesIsTheLimitsIfUntriedEndpointsAreLeft() {
		limit("p1");
		limit("p2");
		assertThat(this.candidates.unavailabilityCause(this.state, 400)).isEqualTo(RefusalCause.ENDPOINTS_LIMITED);
		assertThat(this.candidates.acceptedInMillis(this.state, 400)).isEqualTo(600);
		this.state.triedEndpoints.addAll(List.of(new EndpointId("p1"), new EndpointId("p2")));
		assertThat(this.candidates.unavailabilityCause(this.state, 400)).isEqualTo(RefusalCause.NO_ENDPOINT);
		this.state.sends = 2;
		assertThat(this.candidates.unavailabilityCause(this.state, 400)).isEqualTo(RefusalCause.NOT_RUN);
	}

	@Test
	void endpointsThatBackOffAreNoCandidates() {
		this.backOffs.extend(new EndpointId("p1"), 3000, 0);
		assertThat(found(2999)).containsExactly("p2");
		assertThat(this.candidates.acceptedInMillis(this.state, 400)).isZero();
		this.backOffs.extend(new EndpointId("p2"), 2000, 0);
		assertThat(found(1999)).isEmpty();
		assertThat(this.candidates.unavailabilityCause(this.state, 400)).isEqualTo(RefusalCause.ENDPOINTS_BACKING_OFF);
		assertThat(this.candidates.acceptedInMillis(this.state, 400)).isEqualTo(1600);
		assertThat(found(2000)).containsExactly("p2");
		limit("p2");
		assertThat(this.candidates.unavailabilityCause(this.state, 2000)).isEqualTo(RefusalCause.ENDPOINTS_LIMITED);
	}

}
