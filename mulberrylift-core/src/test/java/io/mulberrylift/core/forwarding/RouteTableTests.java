package io.mulberrylift.core.forwarding;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RouteTableTests {

	private final RouteTable table = new RouteTable(
			List.of(GatewayFixture.route("/a/", "plain", RequestKind.IDEMPOTENT, 1),
					GatewayFixture.route("/a/b/", "plain", RequestKind.IDEMPOTENT, 1)));

	@Test
	void longestMatchingPrefixIsUsed() {
		assertThat(this.table.find("api.example", "/a/b/c").orElseThrow().pathPrefix()).isEqualTo("/a/b/");
		assertThat(this.table.find("api.example", "/a/c/b/").orElseThrow().pathPrefix()).isEqualTo("/a/");
		assertThat(this.table.find("api.example", "/a/b/").orElseThrow().pathPrefix()).isEqualTo("/a/b/");
	}

	@Test
	void prefixMustMatchCompleteSegments() {
		assertThat(this.table.find("api.example", "/a")).isEmpty();
		assertThat(this.table.find("api.example", "/ab/")).isEmpty();
		assertThat(this.table.find("api.example", "/a/b").orElseThrow().pathPrefix()).isEqualTo("/a/");
		assertThat(this.table.find("api.example", "/")).isEmpty();
		assertThat(this.table.find("api.example", "")).isEmpty();
	}

	@Test
	void caseAndPortOfTheHostAreIgnored() {
		assertThat(this.table.find("API.example:8080", "/a/")).isPresent();
		assertThat(this.table.find("other.example", "/a/")).isEmpty();
	}

}
