package io.mulberrylift.daemon.peer;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.core.peer.Heartbeat;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.peer.SuspectNotice;
import io.mulberrylift.core.peer.WitnessMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link PeerCodec}.
 */
class PeerCodecTests {

	private static final long SEED = 20_240_101;

	private static final ZoneId ZONE = new ZoneId("z1");

	private static final WitnessMessage.ClaimId CLAIM = new WitnessMessage.ClaimId(new InstanceId("i1"), Long.MAX_VALUE,
			Long.MIN_VALUE);

	private static final WitnessMessage.KeyId KEY = new WitnessMessage.KeyId("w", "k\u00e9\ud83d\ude00", 3);

	private static final Optional<StoredAnswer> ANSWER = Optional
		.of(new StoredAnswer(200, "text/plain", new byte[] { 0, -1, 127 }));

	static Stream<PeerMessage> messages() {
		WitnessMessage.Grant grant = new WitnessMessage.Grant(KEY, -1, CLAIM, true, ANSWER);
		return Stream.of(new Heartbeat(ZONE, 1, 2, 3, true, 4),
				new SuspectNotice(-5, new EndpointId("e"), 6, false, true), new ConfigurationMessage.Pull(7),
				new ConfigurationMessage.Push(new PublishedDocument(8, "{\"a\":1}")),
				new WitnessMessage.Claim(ZONE, 14, KEY, 9, CLAIM),
				new WitnessMessage.Verdict(ZONE, CLAIM, WitnessMessage.Decision.RUNNING, Optional.of(CLAIM), ANSWER),
				new WitnessMessage.Verdict(ZONE, CLAIM, WitnessMessage.Decision.GRANTED, Optional.empty(),
						Optional.empty()),
				new WitnessMessage.Release(ZONE, KEY, CLAIM), new WitnessMessage.Settled(ZONE, KEY, 11, CLAIM, ANSWER),
				new WitnessMessage.Settled(ZONE, KEY, 11, CLAIM, Optional.empty()),
				new WitnessMessage.Handover(ZONE, 12, 13, 10, 0, 2, List.of(grant, grant)),
				new WitnessMessage.Handover(ZONE, 12, 13, 10, 1, 2, List.of()),
				new WitnessMessage.HandoverTaken(ZONE, 1));
	}

	@ParameterizedTest
	@MethodSource("messages")
	void messageSurvivesTheRoundTrip(PeerMessage message) throws Exception {
		PeerMessage read = PeerCodec.decodeMessage(PeerCodec.encode(message));
		assertThat(read).usingRecursiveComparison().isEqualTo(message);
		assertThat(read).hasSameClassAs(message);
	}

	@Test
	void everyKindIsCovered() {
		assertThat(messages().map(PeerMessageKind::of).distinct()).containsExactlyInAnyOrder(PeerMessageKind.values());
		assertThat(permitted(PeerMessage.class).toList()).containsExactlyInAnyOrderElementsOf(
				Arrays.stream(PeerMessageKind.values()).<Class<?>>map(PeerMessageKind::type).toList());
	}

	private static Stream<Class<?>> permitted(Class<?> type) {
		return (type.isSealed()) ? Arrays.stream(type.getPermittedSubclasses()).flatMap(PeerCodecTests::permitted)
				: Stream.of(type);
	}

	@Test
	void unknownMembersAreIgnored() throws Exception {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packMapHeader(3).packString("new").packArrayHeader(1).packNil();
			packer.packString("knownVersion").packLong(7).packString("kind").packString("pull");
			assertThat(PeerCodec.decodeMessage(packer.toByteArray())).isEqualTo(new ConfigurationMessage.Pull(7));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "push", "claim", "verdict", "release", "settled", "handover", "handover-taken",
			"heartbeat", "suspect" })
	void messageWithoutItsMembersIsRefused(String kind) throws IOException {
		assertThat(Arrays.stream(PeerMessageKind.values()).map(PeerMessageKind::label)).contains(kind);
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packMapHeader(1).packString("kind").packString(kind);
			assertRefused(packer.toByteArray());
		}
	}

	@Test
	void declaredLengthBeyondTheFrameIsRefused() {
		byte[] hugeBinary = { (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0 };
		byte[] hugeArray = { (byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0 };
		assertRefused(hugeBinary);
		assertRefused(hugeArray);
	}

	@Test
	void deepNestingIsRefused() {
		byte[] nested = new byte[PeerFrames.MAX_FRAME_BYTES];
		Arrays.fill(nested, (byte) 0x91);
		assertThatExceptionOfType(MalformedFrameException.class).isThrownBy(() -> PeerCodec.decodeMessage(nested))
			.withMessageContaining("nested deeper");
	}

	@Test
	void trailingBytesAreRefused() {
		byte[] message = PeerCodec.encode(new ConfigurationMessage.Pull(7));
		assertRefused(Arrays.copyOf(message, message.length + 1));
	}

	@Test
	void corruptedMessagesAreDecodedOrRefused() {
		Random random = new Random(SEED);
		List<byte[]> encoded = messages().map(PeerCodec::encode).toList();
		int refused = 0;
		for (int i = 0; i < 20_000; i++) {
			byte[] body = encoded.get(random.nextInt(encoded.size())).clone();
			for (int flips = random.nextInt(4); flips >= 0; flips--) {
				body[random.nextInt(body.length)] = (byte) random.nextInt();
			}
			refused += isRefused(body) ? 1 : 0;
		}
		assertThat(refused).isBetween(1, 19_999);
	}

	@Test
	void randomBytesAreRefused() {
		Random random = new Random(SEED);
		for (int i = 0; i < 20_000; i++) {
			byte[] body = new byte[random.nextInt(200)];
			random.nextBytes(body);
			assertRefused(body);
		}
	}

	private static void assertRefused(byte[] body) {
		assertThatExceptionOfType(MalformedFrameException.class).isThrownBy(() -> PeerCodec.decodeMessage(body));
	}

	private static boolean isRefused(byte[] body) {
		try {
			PeerCodec.decodeMessage(body);
			return false;
		}
		catch (MalformedFrameException ex) {
			return true;
		}
	}

}
