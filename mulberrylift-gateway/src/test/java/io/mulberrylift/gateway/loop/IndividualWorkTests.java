package io.mulberrylift.gateway.loop;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.mulberrylift.core.placement.RequestWork;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IndividualWorkTests {

	private static final RequestWork WORK = new RequestWork(false, 890, 260_000, 0, 1000, 4000, 1000, 18, 1,
			List.of(2, 3));

	private final IndividualWork individual = new IndividualWork();

	@Test
	void placedRequestIsToldOnce() {
		Map<Long, RequestWork> current = Map.of(7L, WORK);
		this.individual.collect(Set.of(7L, 8L), current.keySet());
		assertThat(this.individual.changed(current)).containsOnlyKeys(7L);
		assertThat(this.individual.ended(current)).isEmpty();
		this.individual.clear(current);
		assertThat(this.individual.isEmpty()).isTrue();
	}

	@Test
	void endOfAToldRequestIsTold() {
		this.individual.collect(Set.of(7L), Set.of(7L));
		this.individual.clear(Map.of(7L, WORK));
		this.individual.collect(Set.of(7L), Set.of());
		assertThat(this.individual.ended(Map.of())).containsExactly(7L);
		this.individual.clear(Map.of());
		this.individual.collect(Set.of(7L), Set.of());
		assertThat(this.individual.isEmpty()).isTrue();
	}

	@Test
	void requestThatEndsBeforeItIsToldNeedsNoWork() {
		this.individual.collect(Set.of(7L), Set.of(7L));
		assertThat(this.individual.changed(Map.of())).isEmpty();
	}

}
