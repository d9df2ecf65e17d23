package io.mulberrylift.core.forwarding;

import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointLinksTests {

	private final EndpointLinks links = new EndpointLinks();

	private boolean silence(String service, String endpoint, boolean connected) {
		return this.links.recordSilence(service, new EndpointId(endpoint), connected, 1000);
	}

	@Test
	void linkIsCutIfSeveralEndpointsAreSilentInARow() {
		assertThat(silence("s", "e1", false)).isFalse();
		assertThat(silence("s", "e1", false)).isFalse();
		assertThat(this.links.isCut("s")).isFalse();
		assertThat(silence("s", "e2", false)).isTrue();
		assertThat(silence("s", "e3", false)).isFalse();
		assertThat(this.links.isCut()).isTrue();
		assertThat(this.links.isCut("other")).isTrue();
		assertThat(this.links.isUnconnected()).isTrue();
		assertThat(this.links.recordConnected("s")).isTrue();
		assertThat(this.links.recordConnected("s")).isFalse();
		assertThat(this.links.isCut("s")).isFalse();
		assertThat(this.links.isUnconnected()).isFalse();
	}

	@Test
	void anyByteEndsTheSilence() {
		silence("s", "e1", true);
		silence("s", "e2", true);
		assertThat(this.links.recordAnswer("s", 500)).isTrue();
		assertThat(this.links.recordAnswer("s", 500)).isFalse();
		assertThat(this.links.isCut("s")).isFalse();
	}

	/**
	 * Failure: instances whose established connections lived on while no new ones were
	 * possible counted as reaching the endpoints.
	 */
	@Test
	void bytesOnEstablishedConnectionsDoNotShowThatNewOnesArePossible() {
		for (String endpoint : new String[] { "e1", "e2", "e3" }) {
			silence("s", endpoint, false);
			this.links.recordAnswer("s", 500);
		}
		assertThat(this.links.isCut("s")).isTrue();
		assertThat(this.links.areConnectionsSilent("s")).isFalse();
		assertThat(this.links.recordConnected("s")).isTrue();
		assertThat(this.links.isCut("s")).isFalse();
	}

	@Test
	void answerOfAnEndpointBetweenShowsThatTheEndpointsAreTheCause() {
		silence("s", "e1", true);
		this.links.recordAnswer("s", 500);
		silence("s", "e2", true);
		assertThat(this.links.isCut("s")).isFalse();
	}

	@Test
	void endpointsThatRefuseConnectionsRightAfterAnAnswerAreNotSilent() {
		this.links.recordAnswer("s", 900);
		silence("s", "e1", false);
		silence("s", "e2", false);
		assertThat(this.links.isCut("s")).isFalse();
		silence("s", "e3", false);
		assertThat(this.links.isCut("s")).isTrue();
	}

	@Test
	void onlyOneServiceIsCutIfAnotherOneAnswers() {
		silence("s", "e1", false);
		silence("s", "e2", false);
		this.links.recordAnswer("other", 500);
		assertThat(this.links.isCut("s")).isTrue();
		assertThat(this.links.isCut("other")).isFalse();
		assertThat(this.links.isCut()).isFalse();
	}

	@Test
	void endpointsThatAcceptConnectionsMayOnlyBeSlow() {
		silence("s", "e1", true);
		silence("s", "e2", true);
		assertThat(this.links.isCut()).isTrue();
		assertThat(this.links.isUnconnected()).isFalse();
	}

	@Test
	void oneConnectionASecondIsTriedOverACutLink() {
		silence("s", "e1", false);
		silence("s", "e2", false);
		assertThat(this.links.takeProbe("s", 1999)).isFalse();
		assertThat(this.links.takeProbe("s", 2000)).isTrue();
		assertThat(this.links.takeProbe("s", 2999)).isFalse();
		assertThat(this.links.takeProbe("s", 3000)).isTrue();
	}

	@Test
	void linkIsTheCauseIfConnectionsWithAttemptsBreakAtOnce() {
		assertThat(this.links.recordBroken(new EndpointId("e1"), 500, 1000)).isFalse();
		assertThat(this.links.recordBroken(new EndpointId("e2"), 900, 1001)).isFalse();
		assertThat(this.links.recordBroken(new EndpointId("e3"), 800, 1002)).isTrue();
		assertThat(this.links.recordBroken(new EndpointId("e3"), 800, 1002)).isTrue();
		assertThat(this.links.recordBroken(new EndpointId("e4"), 1000, 1003)).isFalse();
		assertThat(this.links.recordBroken(new EndpointId("e5"), 800, 1200)).isFalse();
	}

}
