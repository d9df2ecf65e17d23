package io.mulberrylift.core.membership;

import java.util.ArrayList;
import java.util.List;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.event.PeerEvent;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.Heartbeat;
import io.mulberrylift.core.time.Moment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MembershipPart}.
 */
class MembershipPartTests {

	private static final InstanceId PEER = new InstanceId("a-02");

	private final Effects effects = new Effects();

	@Test
	void gapOnEitherClockIsAPause() {
		MembershipPart part = part("a-01", 3, 2);
		assertThat(part.observe(new Moment(0, 0), this.effects)).isFalse();
		assertThat(part.observe(new Moment(2_000, 2_000), this.effects)).isFalse();
		assertThat(part.observe(new Moment(4_001, 4_000), this.effects)).isTrue();
		assertThat(part.observe(new Moment(4_002, 6_001), this.effects)).isTrue();
	}

	@Test
	void peerWithoutMessagesIsSuspectedUntilAPauseResetsItsTimeout() {
		MembershipPart part = part("a-01", 3, 2);
		for (int i = 1; i <= 3; i++) {
			part.received(heartbeat(7, i, i * 1_000L));
		}
		observeEachSecond(part, 3_000, 14_000);
		assertThat(part.isSuspect(PEER)).isTrue();
		assertThat(part.isLost(PEER)).isTrue();
		part.observe(new Moment(20_000, 20_000), this.effects);
		assertThat(part.isSuspect(PEER)).isFalse();
	}

	@Test
	void lateMessageOfAReplacedProcessIsIgnored() {
		MembershipPart part = part("a-01", 3, 2);
		part.received(heartbeat(7, 1, 0));
		assertThat(part.received(heartbeat(8, 1, 100))).isTrue();
		assertThat(part.received(heartbeat(7, 2, 200))).isFalse();
		assertThat(part.incarnation(PEER)).hasValue(8);
		assertThat(part.isProcessLost(PEER, 7)).isTrue();
		assertThat(part.isProcessLost(PEER, 8)).isFalse();
	}

	@Test
	void smallFleetSendsToAll() {
		assertThat(receivers("a-02", 3, 5, 1)).hasSize(14);
	}

	@Test
	void largeFleetSendsToItsZoneAndTheLongestListedToOtherZones() {
		assertThat(receivers("a-02", 4, 5, 1)).containsExactlyInAnyOrder("a-01", "a-03", "a-04", "a-05");
		assertThat(receivers("a-01", 4, 5, 1)).containsExactlyInAnyOrder("a-02", "a-03", "a-04", "a-05", "b-01", "c-01",
				"d-01");
	}

	private List<String> receivers(String self, int zones, int perZone, int ticks) {
		MembershipPart part = part(self, zones, perZone);
		for (int i = 0; i < ticks; i++) {
			part.tick(0, new Moment(i * 1_000L, 0), this.effects);
		}
		return this.effects.drain().stream().map((effect) -> ((PeerEffect.Send) effect).to().value()).toList();
	}

	private void observeEachSecond(MembershipPart part, long fromMillis, long toMillis) {
		for (long at = fromMillis; at <= toMillis; at += 1_000) {
			part.observe(new Moment(at, at), this.effects);
		}
	}

	private static PeerEvent.Received heartbeat(long incarnation, long sequence, long atMillis) {
		Heartbeat heartbeat = new Heartbeat(new ZoneId("a"), sequence, 1, 1, false, 0);
		return new PeerEvent.Received(new Moment(atMillis, atMillis), PEER, incarnation, heartbeat);
	}

	private static MembershipPart part(String self, int zones, int perZone) {
		FleetState fleet = new FleetState(
				new InstanceIdentity(new InstanceId(self), new ZoneId(self.substring(0, 1)), 1));
		List<InstanceDescription> instances = new ArrayList<>();
		for (int zone = 0; zone < zones; zone++) {
			String name = String.valueOf((char) ('a' + zone));
			for (int i = 1; i <= perZone; i++) {
				instances.add(new InstanceDescription(new InstanceId(name + "-0" + i), new ZoneId(name), "", false, i));
			}
		}
		fleet.update(new FleetList(1, 1, instances, List.of()));
		return new MembershipPart(fleet);
	}

}
