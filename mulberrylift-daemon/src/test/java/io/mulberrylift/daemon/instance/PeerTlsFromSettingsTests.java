package io.mulberrylift.daemon.instance;

import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.List;

import com.google.inject.Guice;
import com.google.inject.Injector;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.daemon.outbound.RecordingEventSink;
import io.mulberrylift.daemon.peer.PeerDirectory;
import io.mulberrylift.daemon.peer.PeerLinks;
import io.mulberrylift.daemon.peer.PeerServer;
import io.mulberrylift.daemon.settings.InstanceSettings;
import io.mulberrylift.daemon.settings.InstanceSettingsReader;
import io.mulberrylift.daemon.settings.SettingsCheck;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that instances encrypt their connections if their settings enable TLS.
 */
class PeerTlsFromSettingsTests {

	private static final ZoneId ZONE = new ZoneId("z");

	@Test
	void instancesConnectOverTls() throws Exception {
		try (Node a = new Node("a", tls("instance")); Node b = new Node("b", tls("instance"))) {
			a.send(b);
			RecordingEventSink.await("handshake complete", () -> a.links().connectedPeers() == 1);
		}
	}

	@Test
	void instancesWithoutTlsOrTrustedCertificateAreRefused() throws Exception {
		try (Node plain = new Node("p", "");
				Node untrusted = new Node("s", tls("stranger"));
				Node b = new Node("b", tls("instance"))) {
			plain.send(b);
			untrusted.send(b);
			RecordingEventSink.await("connection attempts refused", () -> b.server().acceptedConnections() > 4);
			assertThat(plain.links().connectedPeers()).isZero();
			assertThat(untrusted.links().connectedPeers()).isZero();
		}
	}

	@Test
	void encryptionIsOffByDefault() throws Exception {
		try (Node a = new Node("a", ""); Node b = new Node("b", "")) {
			assertThat(a.tls().server()).isEmpty();
			assertThat(a.tls().client()).isEmpty();
			a.send(b);
			RecordingEventSink.await("handshake complete", () -> a.links().connectedPeers() == 1);
		}
	}

	private static String tls(String key) throws URISyntaxException {
		return """
				, "tls": {"keyStorePath": "%s", "keyStorePassword": "changeit",
				 "trustStorePath": "%s", "trustStorePassword": "changeit"}""".formatted(file(key), file("trust"));
	}

	private static Path file(String name) throws URISyntaxException {
		return Path.of(PeerTlsFromSettingsTests.class.getResource("/peer-tls/" + name + ".p12").toURI());
	}

	/**
	 * Peer connections of one instance, created from its settings.
	 */
	private static final class Node implements AutoCloseable {

		private final InstanceId id;

		private final Injector injector;

		Node(String id, String tls) {
			this.id = new InstanceId(id);
			this.injector = Guice.createInjector(new InstanceModule(settings(id, tls)));
			server();
		}

		private static InstanceSettings settings(String id, String tls) {
			SettingsCheck<InstanceSettings> check = InstanceSettingsReader.read("""
					{"instanceId": "%s", "zone": "z", "callers": {"host": "127.0.0.1", "port": 0},
					 "operators": {"host": "127.0.0.1", "port": 0}, "peers": {"host": "127.0.0.1", "port": 0%s},
					 "platform": {"baseUrl": "http://127.0.0.1:1"}}
					""".formatted(id, tls));
			return ((SettingsCheck.Valid<InstanceSettings>) check).value();
		}

		void send(Node to) {
			InstanceDescription listed = new InstanceDescription(to.id, ZONE, "127.0.0.1:" + to.server().port(), false,
					0);
			this.injector.getInstance(PeerDirectory.class).update(new FleetList(1, 0, List.of(listed), List.of()));
			links().handle(new PeerEffect.Send(to.id, new ConfigurationMessage.Pull(1)));
		}

		PeerServer server() {
			return this.injector.getInstance(PeerServer.class);
		}

		PeerLinks links() {
			return this.injector.getInstance(PeerLinks.class);
		}

		PeerTlsContexts tls() {
			return this.injector.getInstance(PeerTlsContexts.class);
		}

		@Override
		public void close() {
			links().close();
			server().close();
			this.injector.getInstance(EventLoopGroup.class).shutdownGracefully();
		}

	}

}
