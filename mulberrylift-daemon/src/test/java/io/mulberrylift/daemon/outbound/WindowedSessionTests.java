package io.mulberrylift.daemon.outbound;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WindowedSession}.
 */
class WindowedSessionTests {

	private final AtomicInteger eventMask = new AtomicInteger();

	private final IOSession endlessSession = (IOSession) Proxy.newProxyInstance(getClass().getClassLoader(),
			new Class<?>[] { IOSession.class }, (proxy, method, arguments) -> switch (method.getName()) {
				case "getEventMask" -> this.eventMask.get();
				case "read" -> 5;
				default -> throw new UnsupportedOperationException(method.getName());
			});

	@Test
	void readsOnlyWhileItWaitsForInput() throws Exception {
		WindowedSession session = new WindowedSession(this.endlessSession);
		this.eventMask.set(SelectionKey.OP_WRITE);
		assertThat(session.read(ByteBuffer.allocate(5))).isZero();
		this.eventMask.set(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
		assertThat(session.read(ByteBuffer.allocate(5))).isEqualTo(5);
	}

}
