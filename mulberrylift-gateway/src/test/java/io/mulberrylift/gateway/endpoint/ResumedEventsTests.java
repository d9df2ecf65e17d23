package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.mulberrylift.gateway.endpoint.ResumedEvents.Place;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResumedEventsTests {

	private final ResumedEvents events = new ResumedEvents("9");

	private Place next(String id) {
		return this.events.next(new StreamEvent(new byte[0], Optional.of(id)));
	}

	private Place nextWithoutIdentifier(String text) {
		return this.events.next(new StreamEvent(text.getBytes(StandardCharsets.UTF_8), Optional.empty()));
	}

	@Test
	void wholeNumbersAreOrderedByTheirValues() {
		assertThat(ResumedEvents.isAtMost("9", "10")).isTrue();
		assertThat(ResumedEvents.isAtMost("010", "10")).isTrue();
		assertThat(ResumedEvents.isAtMost("18446744073709551617", "18446744073709551616")).isFalse();
	}

	@Test
	void otherIdentifiersAreComparedForEquality() {
		assertThat(ResumedEvents.isAtMost("a", "a")).isTrue();
		assertThat(ResumedEvents.isAtMost("a", "b")).isFalse();
		assertThat(ResumedEvents.isAtMost("1", "1.0")).isFalse();
	}

	@Test
	void eventsUpToTheLastOneAreRepeated() {
		assertThat(next("8")).isEqualTo(Place.REPEATED);
		assertThat(nextWithoutIdentifier("data: x\n\n")).isEqualTo(Place.REPEATED);
		assertThat(this.events.endsTooEarly()).isTrue();
		assertThat(next("9")).isEqualTo(Place.REPEATED);
		assertThat(this.events.endsTooEarly()).isFalse();
		assertThat(nextWithoutIdentifier("data: x\n\n")).isEqualTo(Place.NEW);
		assertThat(next("10")).isEqualTo(Place.NEW);
		assertThat(next("8")).isEqualTo(Place.REPEATED);
		assertThat(this.events.endsTooEarly()).isFalse();
	}

	@Test
	void firstDataWithoutAnIdentifierHaveNoPlace() {
		assertThat(nextWithoutIdentifier(": comment\n\n")).isEqualTo(Place.NEW);
		assertThat(nextWithoutIdentifier("data: x\n\n")).isEqualTo(Place.UNKNOWN);
		assertThat(this.events.endsTooEarly()).isFalse();
	}

}
