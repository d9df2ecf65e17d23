package io.mulberrylift.core.configuration;

import java.util.List;

import io.mulberrylift.core.FleetFixture;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.fleet.InstanceIdentity;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationPart}.
 */
class ConfigurationPartTests {

	private final FleetState fleet = new FleetState(new InstanceIdentity(FleetFixture.SELF, FleetFixture.ZONE, 1));

	private final ConfigurationPart part = new ConfigurationPart(this.fleet);

	private final Effects effects = new Effects();

	@Test
	void instanceThatFirstReadsARejectedVersionAppliesTheAcceptedOneOfItsPeers() {
		this.part.apply(rejected(2), this.effects);
		assertThat(this.part.apply(accepted(1), this.effects)).isTrue();
		assertThat(this.fleet.configurationVersion()).isEqualTo(1);
	}

	@Test
	void olderVersionNeverReplacesTheOneInForce() {
		this.part.apply(accepted(2), this.effects);
		assertThat(this.part.apply(accepted(1), this.effects)).isFalse();
		assertThat(this.fleet.configurationVersion()).isEqualTo(2);
	}

	@Test
	void rejectedVersionIsReportedOnce() {
		this.part.apply(rejected(2), this.effects);
		this.effects.drain();
		this.part.apply(rejected(2), this.effects);
		assertThat(this.effects.drain()).isEmpty();
	}

	private static ConfigurationCheck accepted(long version) {
		return new ConfigurationCheck.Accepted(new PublishedDocument(version, "{}"), FleetFixture.configuration());
	}

	private static ConfigurationCheck rejected(long version) {
		return new ConfigurationCheck.Rejected(new PublishedDocument(version, "{"),
				List.of(new ConfigurationProblem("document", "{", "JSON", "Close the brace.")));
	}

}
