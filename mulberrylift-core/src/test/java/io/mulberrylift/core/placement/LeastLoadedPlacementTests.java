package io.mulberrylift.core.placement;

import java.util.List;
import java.util.SplittableRandom;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeastLoadedPlacementTests {

	private final LeastLoadedPlacement policy = new LeastLoadedPlacement(new SplittableRandom(5));

	private final WorkTable work = new WorkTable();

	private final ForwardEndpoint near = endpoint("near", "zone-a");

	private final ForwardEndpoint far = endpoint("far", "zone-b");

	private static ForwardEndpoint endpoint(String id, String zone) {
		return new ForwardEndpoint(new EndpointId(id), "s", "10.0.0.1", 80, zone, 6, false, 0);
	}

	private ForwardEndpoint place() {
		return this.policy.place(this.work.view(List.of(this.near, this.far)), "zone-a").orElseThrow().endpoint();
	}

	@Test
	void prefersTheZoneUntilItsEndpointIsLoaded() {
		assertThat(place()).isEqualTo(this.near);
		for (long request = 0; request < 4; request++) {
			this.work.put(request,
					new RequestWork(false, 0, 0, 0, 0, 0, 0, 1, WorkTable.hash(this.near.id()), List.of()));
		}
		assertThat(place()).isEqualTo(this.far);
	}

	@Test
	void avoidsAnEndpointWithAHigherFailureRate() {
		for (int count = 0; count < 5; count++) {
			this.work.health(this.near.id()).recordFailure();
		}
		assertThat(place()).isEqualTo(this.far);
	}

	@Test
	void returnsEmptyWithoutEndpoints() {
		assertThat(this.policy.place(List.of(), "zone-a")).isEmpty();
	}

}
