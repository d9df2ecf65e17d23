package io.mulberrylift.core.limit;

import java.util.List;

import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointBackOffsTests {

	private static final EndpointId ENDPOINT = new EndpointId("p1");

	private final EndpointBackOffs backOffs = new EndpointBackOffs();

	@Test
	void latestEndCounts() {
		assertThat(this.backOffs.extend(ENDPOINT, 3000, 1000)).isEqualTo(3000);
		assertThat(this.backOffs.extend(ENDPOINT, 500, 2000)).isZero();
		assertThat(this.backOffs.extend(ENDPOINT, 2500, 2000)).isEqualTo(500);
		assertThat(this.backOffs.remainingMillis(ENDPOINT, 2000)).isEqualTo(2500);
		assertThat(this.backOffs.mayUse(ENDPOINT, 4499)).isFalse();
		assertThat(this.backOffs.mayUse(ENDPOINT, 4500)).isTrue();
		assertThat(this.backOffs.all(4000)).containsOnlyKeys(ENDPOINT);
		this.backOffs.expire(4500);
		assertThat(this.backOffs.all(4000)).isEmpty();
	}

	@Test
	void endedBackOffDoesNotCountForTheNext() {
		this.backOffs.extend(ENDPOINT, 1000, 0);
		assertThat(this.backOffs.extend(ENDPOINT, 1000, 5000)).isEqualTo(1000);
	}

	@Test
	void unlistedEndpointsAreForgotten() {
		this.backOffs.extend(ENDPOINT, 3000, 0);
		assertThat(this.backOffs.recordMalformed(ENDPOINT, "soon")).isTrue();
		assertThat(this.backOffs.recordMalformed(ENDPOINT, "soon")).isFalse();
		this.backOffs.retain(List.of());
		assertThat(this.backOffs.mayUse(ENDPOINT, 0)).isTrue();
		assertThat(this.backOffs.recordMalformed(ENDPOINT, "soon")).isTrue();
	}

}
