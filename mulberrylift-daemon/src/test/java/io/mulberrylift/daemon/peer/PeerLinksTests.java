package io.mulberrylift.daemon.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.Set;

import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.event.PeerEvent;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.core.peer.Heartbeat;
import io.mulberrylift.core.peer.WitnessMessage;
import io.mulberrylift.daemon.outbound.RecordingEventSink;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerLinks} and {@link PeerServer}.
 */
class PeerLinksTests {

	private static final long SEED = 20_240_102;

	private static final long RECONNECT_ATTEMPTS_MILLIS = 300;

	private static final ZoneId ZONE = new ZoneId("z1");

	private static final Hello HELLO = Hello.of(new InstanceId("x"), 1, ZONE, "127.0.0.1:1");

	private static Heartbeat heartbeat(long sequence) {
		return new Heartbeat(ZONE, sequence, 0, 0, false, 0);
	}

	@Test
	void messagesArriveInOrderWithTheirSender() throws Exception {
		try (PeerNode a = new PeerNode("a"); PeerNode b = new PeerNode("b")) {
			a.updateDirectory(a, b);
			for (int i = 0; i < 100; i++) {
				a.send(b, new ConfigurationMessage.Pull(i));
			}
			for (int i = 0; i < 100; i++) {
				PeerEvent.Received received = b.events.next(PeerEvent.Received.class);
				assertThat(received.from()).isEqualTo(a.id);
				assertThat(received.senderIncarnation()).isEqualTo(42);
				assertThat(received.message()).isEqualTo(new ConfigurationMessage.Pull(i));
			}
			int frameBytes = PeerCodec.encode(new ConfigurationMessage.Pull(0)).length + PeerFrames.OVERHEAD_BYTES;
			assertThat(a.metrics.meter("peer.sent-bytes.pull").getCount()).isEqualTo(100L * frameBytes);
		}
	}

	@Test
	void documentIsCheckedAndAMessageToItselfIsReceived() throws Exception {
		try (PeerNode a = new PeerNode("a"); PeerNode b = new PeerNode("b")) {
			a.updateDirectory(a, b);
			PublishedDocument document = new PublishedDocument(2, "x".repeat(1_024 * 1_024));
			a.send(a, new ConfigurationMessage.Push(document));
			assertThat(a.events.next(PeerEvent.ConfigurationReceived.class).check().document()).isEqualTo(document);
			PublishedDocument small = new PublishedDocument(3, "y".repeat(60_000));
			a.send(b, new ConfigurationMessage.Push(small));
			PeerEvent.ConfigurationReceived received = b.events.next(PeerEvent.ConfigurationReceived.class);
			assertThat(received.from()).isEqualTo(a.id);
			assertThat(received.check().document()).isEqualTo(small);
		}
	}

	@Test
	void unlistedInstanceIsAnsweredWhileItIsConnected() throws Exception {
		try (PeerNode a = new PeerNode("a"); PeerNode b = new PeerNode("b")) {
			a.updateDirectory(a, b);
			a.send(b, heartbeat(1));
			b.events.next(PeerEvent.Received.class);
			b.send(a, heartbeat(2));
			assertThat(a.events.next(PeerEvent.Received.class).from()).isEqualTo(b.id);
		}
	}

	@Test
	void partitionBlocksBothDirectionsUntilHealed() throws Exception {
		try (PeerNode a = new PeerNode("a"); PeerNode b = new PeerNode("b")) {
			a.updateDirectory(a, b);
			b.updateDirectory(a, b);
			a.send(b, heartbeat(1));
			b.events.next(PeerEvent.Received.class);
			b.send(a, heartbeat(1));
			a.events.next(PeerEvent.Received.class);
			b.links.partitionFrom(Set.of(a.id));
			RecordingEventSink.await("incoming connection closed", () -> a.links.connectedPeers() == 0);
			RecordingEventSink.await("outgoing connection closed", () -> b.links.connectedPeers() == 0);
			a.send(b, heartbeat(2));
			b.send(a, heartbeat(3));
			Thread.sleep(RECONNECT_ATTEMPTS_MILLIS);
			assertThat(a.events.pending()).isEmpty();
			assertThat(b.events.pending()).isEmpty();
			b.links.healPartition();
			assertThat(a.events.next(PeerEvent.Received.class).message()).isEqualTo(heartbeat(3));
			assertThat(b.events.next(PeerEvent.Received.class).message()).isEqualTo(heartbeat(2));
		}
	}

	@Test
	void linkReconnectsAfterARestart() throws Exception {
		try (PeerNode a = new PeerNode("a")) {
			try (PeerNode b = new PeerNode("b")) {
				a.updateDirectory(a, b);
				a.send(b, heartbeat(1));
				b.events.next(PeerEvent.Received.class);
			}
			RecordingEventSink.await("connection closed", () -> a.links.connectedPeers() == 0);
			a.links.handle(new PeerEffect.Send(new InstanceId("b"), heartbeat(2)));
			try (PeerNode b = new PeerNode("b")) {
				a.updateDirectory(a, b);
				assertThat(b.events.next(PeerEvent.Received.class).message()).isEqualTo(heartbeat(2));
			}
		}
	}

	@Test
	void wrongInstanceAtAnAddressReceivesNoMessages() throws Exception {
		try (PeerNode a = new PeerNode("a"); PeerNode other = new PeerNode("other"); PeerNode b = new PeerNode("b")) {
			a.directory.connected(b.id, other.address());
			a.send(b, new ConfigurationMessage.Pull(1));
			RecordingEventSink.await("connections to the other instance attempted",
					() -> other.server.acceptedConnections() > 1);
			a.directory.connected(b.id, b.address());
			assertThat(b.events.next(PeerEvent.Received.class).message()).isEqualTo(new ConfigurationMessage.Pull(1));
			assertThat(other.events.pending()).isEmpty();
		}
	}

	@Test
	void connectionWithoutAcknowledgementsIsReplaced() throws Exception {
		InstanceId unresponsive = new InstanceId("silent");
		try (PeerNode a = new PeerNode("a");
				ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			listener.setSoTimeout(30_000);
			a.directory.connected(unresponsive, "127.0.0.1:" + listener.getLocalPort());
			a.links.handle(new PeerEffect.Send(unresponsive, heartbeat(1)));
			try (Socket first = listener.accept()) {
				writeFrame(new DataOutputStream(first.getOutputStream()), 1,
						PeerCodec.encode(Hello.of(unresponsive, 1, ZONE, "127.0.0.1:1")));
				RecordingEventSink.await("handshake complete", () -> a.links.connectedPeers() == 1);
				RecordingEventSink.await("connection closed without acknowledgements",
						() -> a.links.connectedPeers() == 0);
				a.links.handle(new PeerEffect.Send(unresponsive, heartbeat(2)));
				listener.accept().close();
			}
		}
	}

	@Test
	void fullQueueDropsTheOldestDroppableMessages() {
		OutgoingQueue queue = new OutgoingQueue(100);
		OutgoingQueue.OutgoingFrame claim = frame(PeerMessageKind.CLAIM, 40);
		OutgoingQueue.OutgoingFrame firstPull = frame(PeerMessageKind.PULL, 30);
		OutgoingQueue.OutgoingFrame secondPull = frame(PeerMessageKind.PULL, 30);
		assertThat(queue.add(claim) + queue.add(firstPull) + queue.add(secondPull)).isZero();
		OutgoingQueue.OutgoingFrame verdict = frame(PeerMessageKind.VERDICT, 30);
		assertThat(queue.add(verdict)).isEqualTo(1);
		assertThat(queue.add(frame(PeerMessageKind.CLAIM, 80))).isEqualTo(2);
		assertThat(queue.poll()).isSameAs(claim);
		assertThat(queue.poll()).isSameAs(verdict);
		assertThat(queue.isEmpty()).isTrue();
	}

	@Test
	void laterHeartbeatReplacesAWaitingOne() {
		OutgoingQueue queue = new OutgoingQueue(100);
		queue.add(frame(PeerMessageKind.HEARTBEAT, 90));
		OutgoingQueue.OutgoingFrame later = frame(PeerMessageKind.HEARTBEAT, 90);
		assertThat(queue.add(later)).isZero();
		assertThat(queue.poll()).isSameAs(later);
	}

	private static OutgoingQueue.OutgoingFrame frame(PeerMessageKind kind, int sizeBytes) {
		return new OutgoingQueue.OutgoingFrame(kind, new byte[sizeBytes]);
	}

	@Test
	void malformedFramesCloseOnlyTheirOwnConnection() throws Exception {
		Random random = new Random(SEED);
		try (PeerNode a = new PeerNode("a"); PeerNode b = new PeerNode("b")) {
			a.updateDirectory(a, b);
			a.send(b, heartbeat(1));
			b.events.next(PeerEvent.Received.class);
			byte[] handoverTaken = PeerCodec.encode(new WitnessMessage.HandoverTaken(ZONE, 1));
			assertClosed(b, false, (out) -> out.writeInt(-1));
			assertClosed(b, false, (out) -> out.writeInt(PeerFrames.MAX_FRAME_BYTES + 1));
			assertClosed(b, false, (out) -> writeFrame(out, 2, PeerCodec.encode(HELLO)));
			assertClosed(b, false, (out) -> writeFrame(out, 1, handoverTaken));
			assertClosed(b, false, (out) -> writeFrame(out, 1,
					PeerCodec.encode(new Hello(9, HELLO.instance(), 1, ZONE, "127.0.0.1:1"))));
			assertClosed(b, true, (out) -> writeFrame(out, 1, new byte[] { (byte) 0xc1 }));
			assertClosed(b, true, (out) -> out.writeInt(0));
			for (int i = 0; i < 50; i++) {
				byte[] randomBytes = new byte[1 + random.nextInt(100)];
				random.nextBytes(randomBytes);
				assertClosed(b, random.nextBoolean(), (out) -> writeFrame(out, 1, randomBytes));
			}
			a.send(b, heartbeat(2));
			assertThat(b.events.next(PeerEvent.Received.class).message()).isEqualTo(heartbeat(2));
			assertThat(b.events.pending()).isEmpty();
		}
	}

	private static void assertClosed(PeerNode node, boolean sendHello, MalformedInput input) throws IOException {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.server.port())) {
			socket.setSoTimeout(30_000);
			DataOutputStream out = new DataOutputStream(socket.getOutputStream());
			DataInputStream in = new DataInputStream(socket.getInputStream());
			if (sendHello) {
				writeFrame(out, 1, PeerCodec.encode(HELLO));
				in.readNBytes(in.readInt());
			}
			input.run(out);
			assertThat(in.read()).isEqualTo(-1);
		}
	}

	private static void writeFrame(DataOutputStream out, int version, byte[] body) throws IOException {
		out.writeInt(body.length + 1);
		out.writeByte(version);
		out.write(body);
		out.flush();
	}

	@FunctionalInterface
	private interface MalformedInput {

		void run(DataOutputStream out) throws IOException;

	}

}
