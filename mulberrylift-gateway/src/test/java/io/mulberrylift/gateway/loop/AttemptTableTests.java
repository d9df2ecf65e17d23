package io.mulberrylift.gateway.loop;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptTableTests {

	private final AttemptTable table = new AttemptTable();

	@Test
	void attemptsAreListedByRequestUntilTheyEnd() {
		this.table.add(1, 100);
		this.table.add(2, 200);
		this.table.add(3, 100);
		assertThat(this.table.ofRequest(100)).containsExactly(1L, 3L);
		this.table.remove(1);
		this.table.remove(1);
		assertThat(this.table.ofRequest(100)).containsExactly(3L);
		this.table.remove(3);
		assertThat(this.table.ofRequest(100)).isEmpty();
		assertThat(this.table.ofRequest(200)).containsExactly(2L);
	}

	@Test
	void requestOfAnAttemptIsKnownUntilItEnds() {
		this.table.add(1, 100);
		assertThat(this.table.requestOf(1)).contains(100L);
		this.table.remove(1);
		assertThat(this.table.requestOf(1)).isEmpty();
	}

	@Test
	void attemptsOfARequestThatEndedAreNotListedAgain() {
		this.table.add(1, 100);
		this.table.add(2, 100);
		this.table.removeRequest(100);
		this.table.removeRequest(300);
		assertThat(this.table.ofRequest(100)).isEmpty();
		this.table.remove(2);
		assertThat(this.table.ofRequest(100)).isEmpty();
	}

}
