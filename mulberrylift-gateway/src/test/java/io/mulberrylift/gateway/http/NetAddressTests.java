package io.mulberrylift.gateway.http;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class NetAddressTests {

	@Test
	void parsesHostAndPort() {
		assertThat(NetAddress.parse("10.1.0.40:8227")).isEqualTo(new NetAddress("10.1.0.40", 8227))
			.hasToString("10.1.0.40:8227");
	}

	@Test
	void malformedAddressIsRejectedWithTheExpectedForm() {
		for (String bad : new String[] { "", "10.1.0.40", "host:80", "10.1.0.40:x", "10.1.0.40:0", "10.1.0.40:70000",
				"10.1.0.40:99999999999", "10.1.0:80", "10.1.0.40.5:80" }) {
			assertThatIllegalArgumentException().isThrownBy(() -> NetAddress.parse(bad))
				.withMessageMatching(".*(write it as|use 1 to).*");
		}
	}

	/**
	 * Failure: an address with parts over 255 was accepted; its use asked for a name
	 * lookup, which failed.
	 */
	@Test
	void partsOutOfRangeAreRejected() {
		for (String bad : new String[] { "999.7.100.91:80", "10.256.0.1:80", "10.0.300.1:80", "10.0.0.256:80",
				"10.0.0.010:80" }) {
			assertThatIllegalArgumentException().isThrownBy(() -> NetAddress.parse(bad))
				.withMessageContaining("is not an IPv4 address");
		}
		for (String good : new String[] { "0.0.0.0:1", "255.255.255.255:65535", "199.249.99.10:80" }) {
			assertThat(NetAddress.parse(good)).hasToString(good);
			assertThat(NetAddress.parse(good).socketAddress().isUnresolved()).isFalse();
		}
	}

}
