package io.mulberrylift.daemon.peer;

import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.Optional;

import io.mulberrylift.core.event.PeerEvent;
import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.daemon.outbound.RecordingEventSink;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerTlsSettings}.
 */
class PeerTlsTests {

	private static final String PASSWORD = "changeit";

	private static PeerTlsSettings settings(String key) throws URISyntaxException {
		return new PeerTlsSettings(file(key), PASSWORD, file("trust"), PASSWORD);
	}

	private static Path file(String name) throws URISyntaxException {
		return Path.of(PeerTlsTests.class.getResource("/peer-tls/" + name + ".p12").toURI());
	}

	private static PeerNode node(String id, String key) throws Exception {
		return new PeerNode(id, Optional.of(settings(key).server()), Optional.of(settings(key).client()));
	}

	@Test
	void instancesWithTrustedCertificatesExchangeMessages() throws Exception {
		try (PeerNode a = node("a", "instance"); PeerNode b = node("b", "instance")) {
			a.list(a, b);
			a.send(b, new ConfigurationMessage.Pull(1));
			assertThat(b.events.next(PeerEvent.Received.class).from()).isEqualTo(a.id);
		}
	}

	@Test
	void strangerIsRefused() throws Exception {
		try (PeerNode stranger = node("x", "stranger");
				PeerNode plain = new PeerNode("y");
				PeerNode b = node("b", "instance")) {
			stranger.list(b);
			plain.list(b);
			stranger.send(b, new ConfigurationMessage.Pull(1));
			plain.send(b, new ConfigurationMessage.Pull(1));
			RecordingEventSink.await("attempts refused", () -> b.server.acceptedConnections() > 4);
			assertThat(stranger.links.connectedPeers()).isZero();
			assertThat(plain.links.connectedPeers()).isZero();
			assertThat(b.events.pending()).isEmpty();
		}
	}

	@Test
	void passwordsAreNotShown() throws Exception {
		assertThat(settings("instance").toString()).doesNotContain(PASSWORD);
	}

}
