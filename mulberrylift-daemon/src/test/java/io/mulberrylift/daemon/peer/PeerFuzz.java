package io.mulberrylift.daemon.peer;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.Reducer;
import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.time.Moment;
import io.mulberrylift.daemon.fuzz.FuzzSource;
import io.mulberrylift.daemon.settings.PublishedConfigurationParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Fuzz targets for frames and messages from other instances.
 */
public final class PeerFuzz {

	private static final ZoneId ZONE = new ZoneId("z1");

	private static final InstanceId SELF = new InstanceId("i0");

	private static final InstanceId PEER = new InstanceId("i1");

	private static final Moment START = new Moment(1_000, 1_700_000_000_000L);

	private static final long STEP_MILLIS = 100;

	private static final List<byte[]> MESSAGES = PeerCodecTests.messages().map(PeerCodec::encode).toList();

	private static final byte[] HELLO = PeerCodec.encode(Hello.of(PEER, 42, ZONE, "127.0.0.1:1"));

	private static final String CONFIGURATION = """
			{"witnessZones": ["z1"], "models": {"m": {"maxPromptTokens": 1000, "maxOutputTokens": 10}},
			 "profiles": {"p": {"priority": 5, "defaultTimeoutMillis": 1000, "maxTimeoutMillis": 2000}},
			 "workspaces": {"w": {}}}
			""";

	private static final ConfigurationCheck.Accepted ACCEPTED = (ConfigurationCheck.Accepted) PublishedConfigurationParser
		.check(new PublishedDocument(1, CONFIGURATION));

	private PeerFuzz() {
	}

	/**
	 * Feeds the mutated bytes of a connection to the frame decoder.
	 * @param source provides the input
	 */
	public static void tryFrames(FuzzSource source) {
		EmbeddedChannel channel = new EmbeddedChannel(
				new LengthFieldBasedFrameDecoder(PeerFrames.MAX_FRAME_BYTES, 0, 4, 0, 4));
		byte[] body = source.pick(List.of(HELLO, source.pick(MESSAGES)));
		ByteBuf bytes = Unpooled.buffer().writeInt(body.length + 1).writeBytes(PeerFrames.frame(body));
		byte[] valid = new byte[bytes.readableBytes()];
		bytes.readBytes(valid);
		try {
			channel.writeInbound(Unpooled.wrappedBuffer(source.mutate(valid)));
			for (ByteBuf frame = channel.readInbound(); frame != null; frame = channel.readInbound()) {
				readFrame(frame);
			}
			channel.finishAndReleaseAll();
		}
		catch (TooLongFrameException ex) {
			channel.close();
		}
	}

	private static void readFrame(ByteBuf frame) {
		try {
			PeerFrames.readHello(frame.duplicate());
		}
		catch (MalformedFrameException ex) {
			// Expected: the connection is closed.
		}
		try {
			PeerCodec.decodeMessage(PeerFrames.readBody(frame));
		}
		catch (MalformedFrameException ex) {
			// Expected: the connection is closed.
		}
		frame.release();
	}

	/**
	 * Feeds mutated messages to a reducer.
	 * @param source provides the input
	 */
	public static void tryMessage(FuzzSource source) {
		Reducer reducer = reducer(source.nextInt(10) > 0);
		long[] nowMillis = { 0 };
		PeerReceiver receiver = new PeerReceiver(PublishedConfigurationParser::check, (event) -> {
			nowMillis[0] += STEP_MILLIS;
			reducer.reduce(event.apply(START.plusMillis(nowMillis[0])));
		});
		for (int messages = source.nextInt(4); messages >= 0; messages--) {
			decode(source.mutate(source.pick(MESSAGES)))
				.ifPresent((message) -> receiver.receive(PEER, source.nextInt(3), message));
		}
		for (int ticks = 0; ticks < 20; ticks++) {
			nowMillis[0] += STEP_MILLIS * (1 + source.nextInt(50));
			reducer.reduce(new ControlEvent.Tick(START.plusMillis(nowMillis[0])));
		}
		reducer.describe();
	}

	private static Optional<PeerMessage> decode(byte[] body) {
		try {
			return Optional.of(PeerCodec.decodeMessage(body));
		}
		catch (MalformedFrameException ex) {
			return Optional.empty();
		}
	}

	private static Reducer reducer(boolean configured) {
		Reducer reducer = new Reducer(new InstanceIdentity(SELF, ZONE, 7), 1);
		reducer.reduce(new ControlEvent.Tick(START));
		if (configured) {
			reducer.reduce(new PlatformEvent.ConfigurationRead(START, ACCEPTED));
		}
		reducer.reduce(new PlatformEvent.ListRead(START,
				new FleetList(1, START.epochMillis(),
						List.of(new InstanceDescription(SELF, ZONE, "127.0.0.1:2", false, 0),
								new InstanceDescription(PEER, ZONE, "127.0.0.1:3", false, 0)),
						List.of())));
		return reducer;
	}

}
