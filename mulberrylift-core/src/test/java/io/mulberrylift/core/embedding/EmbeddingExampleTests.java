package io.mulberrylift.core.embedding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.FleetFixture;
import io.mulberrylift.core.Reducer;
import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.effect.RequestEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.time.Moment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the example of the embedding documentation: a loop that drives the reducer in
 * simulated time.
 */
class EmbeddingExampleTests {

	private static final int PROMPT_TOKENS = 1_000;

	@Test
	void simulatedTimeDrivesARequestToItsEnd() {
		// tag::example[]
		Reducer reducer = new Reducer(new InstanceIdentity(FleetFixture.SELF, FleetFixture.ZONE, 1), 42);
		List<Event> queue = new ArrayList<>();
		List<RequestEffect> answers = new ArrayList<>();
		long nowMillis = 0;
		queue.add(new ControlEvent.Tick(new Moment(nowMillis, nowMillis)));
		while (answers.isEmpty()) {
			Moment now = new Moment(nowMillis, nowMillis);
			Event event = queue.isEmpty() ? new ControlEvent.Tick(now) : queue.remove(0);
			for (Effect effect : reducer.reduce(event)) {
				if (effect instanceof PlatformEffect.ReadList) {
					queue.add(new PlatformEvent.ListRead(now, list()));
				}
				else if (effect instanceof PlatformEffect.WatchConfiguration watch && watch.knownVersion() == 0) {
					queue.add(new PlatformEvent.ConfigurationRead(now, configuration()));
					queue.add(new RequestEvent.Arrived(now, FleetFixture.brief(1, PROMPT_TOKENS)));
				}
				else if (effect instanceof AttemptEffect.Dispatch dispatch) {
					queue.add(new AttemptEvent.Finished(now, dispatch.attemptId(), PROMPT_TOKENS, 0, 5,
							Optional.empty()));
				}
				else if (effect instanceof RequestEffect answer) {
					answers.add(answer);
				}
			}
			nowMillis = queue.isEmpty() ? reducer.nextWakeMonotonicMillis(now) : nowMillis;
		}
		// end::example[]
		assertThat(answers).containsExactly(new RequestEffect.Complete(1));
	}

	private static ConfigurationCheck configuration() {
		return new ConfigurationCheck.Accepted(new PublishedDocument(1, "{}"), FleetFixture.configuration());
	}

	private static FleetList list() {
		return new FleetList(1, 0, List.of(), List.of(FleetFixture.engine("engine-1", 400_000)));
	}

}
