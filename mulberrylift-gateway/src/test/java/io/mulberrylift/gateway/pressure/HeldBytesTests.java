package io.mulberrylift.gateway.pressure;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HeldBytesTests {

	private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

	private final HeldBytes held = new HeldBytes();

	private static ByteBuf bytes(int size) {
		return Unpooled.wrappedBuffer(new byte[size]);
	}

	@Test
	void oneBodyIsBounded() {
		BodyBuffer body = new BodyBuffer(this.held.lease(), MAX_ANSWER_BYTES);
		assertThat(body.append(bytes(MAX_ANSWER_BYTES))).isTrue();
		assertThat(body.append(bytes(1))).isFalse();
		assertThat(body.size()).isEqualTo(MAX_ANSWER_BYTES);
	}

	@Test
	void largeBodiesTogetherAreBoundedUntilTheyAreReleased() {
		List<HeldBytes.Lease> large = new ArrayList<>();
		for (int count = 0; count < 3; count++) {
			large.add(this.held.lease());
			assertThat(large.get(count).resize(MAX_ANSWER_BYTES)).isTrue();
		}
		assertThat(this.held.lease().resize(MAX_ANSWER_BYTES)).isFalse();
		large.get(0).release();
		assertThat(this.held.lease().resize(MAX_ANSWER_BYTES)).isTrue();
	}

	@Test
	void smallBodiesAreAcceptedBesideLargeOnes() {
		int size = 0;
		while (this.held.lease().resize(MAX_ANSWER_BYTES)) {
			size++;
		}
		while (this.held.lease().resize(HeldBytes.OWN_BYTES + 1024 * 1024)) {
			size++;
		}
		assertThat(size).isPositive();
		assertThat(this.held.lease().resize(HeldBytes.OWN_BYTES)).isTrue();
	}

	/** Load: more small bodies than the heap has room for. */
	@Test
	void allBodiesTogetherAreBounded() {
		int accepted = 0;
		while (this.held.lease().resize(HeldBytes.OWN_BYTES)) {
			accepted++;
		}
		assertThat(accepted).isGreaterThan(100);
		assertThat(this.held.bytes()).isLessThanOrEqualTo(HeldBytes.MAX_BYTES);
		assertThat(this.held.rejected()).isEqualTo(1);
		assertThat(this.held.mayReadAhead()).isFalse();
	}

	@Test
	void releasedLeaseHoldsNothingAnyMore() {
		HeldBytes.Lease lease = this.held.lease();
		lease.set(1000);
		lease.release();
		lease.release();
		lease.set(5);
		assertThat(lease.resize(5)).isFalse();
		assertThat(this.held.bytes()).isZero();
		assertThat(this.held.maxBytes()).isEqualTo(1000);
	}

	@Test
	void bodyIsKeptAsReceivedWhateverItsParts() {
		byte[] expected = new byte[50_000];
		for (int index = 0; index < expected.length; index++) {
			expected[index] = (byte) (index * 31 + index / 251);
		}
		BodyBuffer body = new BodyBuffer(this.held.lease(), expected.length);
		int position = 0;
		for (int size = 1; position < expected.length; size = size * 3 % 20_011) {
			int part = Math.min(size, expected.length - position);
			assertThat(body.append(Unpooled.wrappedBuffer(expected, position, part))).isTrue();
			position += part;
		}
		assertThat(body.toByteArray()).isEqualTo(expected);
		assertThat(body.lease().size()).isEqualTo(expected.length);
	}

}
