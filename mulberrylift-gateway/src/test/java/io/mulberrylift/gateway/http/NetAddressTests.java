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
		for (String bad : new String[] { "", "10.1.0.40", "host:80", "10.1.0.40:x", "10.1.0.40:0",
				"10.1.0.40:70000" }) {
			assertThatIllegalArgumentException().isThrownBy(() -> NetAddress.parse(bad))
				.withMessageMatching(".*(write it as|use 1 to).*");
		}
	}

}
