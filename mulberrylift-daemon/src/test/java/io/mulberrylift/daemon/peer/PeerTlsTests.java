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
		return new PeerNode(id, Optional.of(settings(key).serverContext()), Optional.of(settings(key).clientContext()));
	}

	@Test
	void instancesWithTrustedCertificatesExchangeMessages() throws Exception {
		try (PeerNode a = node("a", "instance"); PeerNode b = node("b", "instance")) {
			a.updateDirectory(a, b);
			a.send(b, new ConfigurationMessage.Pull(1));
			assertThat(b.events.next(PeerEvent.Received.class).from()).isEqualTo(a.id);
		}
	}

	@Test
	void instanceWithoutTrustedCertificateIsRefused() throws Exception {
		try (PeerNode untrusted = node("x", "stranger");
				PeerNode plain = new PeerNode("y");
				PeerNode b = node("b", "instance")) {
			untrusted.updateDirectory(b);
			plain.updateDirectory(b);
			untrusted.send(b, new ConfigurationMessage.Pull(1));
			plain.send(b, new ConfigurationMessage.Pull(1));
			RecordingEventSink.await("connection attempts refused", () -> b.server.acceptedConnections() > 4);
			assertThat(untrusted.links.connectedPeers()).isZero();
			assertThat(plain.links.connectedPeers()).isZero();
			assertThat(b.events.pending()).isEmpty();
		}
	}

	@Test
	void passwordsAreNotShown() throws Exception {
		assertThat(settings("instance").toString()).doesNotContain(PASSWORD);
	}

}
