package io.mulberrylift.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.ModelSettings;
import io.mulberrylift.core.configuration.OrderSettings;
import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.configuration.ServiceSettings;
import io.mulberrylift.core.configuration.WorkspaceSettings;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.event.PlatformEvent;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.IdempotencyKey;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.WorkspaceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.time.Moment;

/**
 * Test fixture with a reducer and a small fleet, driven by explicit events at a
 * controlled time.
 */
public final class FleetFixture {

	/** The zone of the instance and of all endpoints. */
	public static final ZoneId ZONE = new ZoneId("regina-hall");

	/** The instance under test. */
	public static final InstanceId SELF = new InstanceId("entry-1");

	private static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

	private final Reducer reducer = new Reducer(new InstanceIdentity(SELF, ZONE, 7), 1);

	private final List<Effect> effects = new ArrayList<>();

	private long nowMillis = 1_000;

	/**
	 * Creates a reducer that has read the configuration and a list with the given
	 * endpoints.
	 * @param endpoints the listed endpoints
	 */
	public FleetFixture(EndpointDescription... endpoints) {
		FleetConfiguration configuration = configuration();
		send(new PlatformEvent.ConfigurationRead(now(),
				new ConfigurationCheck.Accepted(new PublishedDocument(1, "{}"), configuration)));
		readList(1, endpoints);
	}

	/**
	 * Returns the configuration of the fixture.
	 * @return a configuration with the profiles {@code brief} (repeatable) and
	 * {@code alert} (not repeatable)
	 */
	public static FleetConfiguration configuration() {
		return configuration(null);
	}

	/**
	 * Returns the configuration of the fixture with the given order settings.
	 * @param orders the order settings, null for the defaults
	 * @return a configuration with the profiles {@code brief} (repeatable) and
	 * {@code alert} (not repeatable)
	 */
	public static FleetConfiguration configuration(OrderSettings orders) {
		return new FleetConfiguration(List.of(ZONE), Map.of("outlook", new ModelSettings("1", List.of(), 0, 0)),
				Map.of("notify", new ServiceSettings(List.of())),
				Map.of("brief", new ProfileSettings(5, 5_000, 60_000, true, false, 0), "alert",
						new ProfileSettings(9, 5_000, 60_000, false, false, 0)),
				Map.of("council", new WorkspaceSettings(1, 0, "")), null, null, null, orders);
	}

	/**
	 * Creates the description of an engine.
	 * @param id the name of the engine
	 * @param memoryTokens capacity of its KV cache in tokens
	 * @return the description
	 */
	public static EndpointDescription engine(String id, long memoryTokens) {
		return new EndpointDescription(new EndpointId(id), WorkKind.MODEL, ZONE, "127.0.0.1:1", Set.of("outlook"),
				memoryTokens, true, false);
	}

	/**
	 * Creates the description of an engine that is leaving.
	 * @param id the name of the engine
	 * @return the description
	 */
	public static EndpointDescription leavingEngine(String id) {
		return new EndpointDescription(new EndpointId(id), WorkKind.MODEL, ZONE, "127.0.0.1:1", Set.of("outlook"),
				400_000, true, true);
	}

	/**
	 * Creates a repeatable request for a model.
	 * @param requestId the identifier of the request
	 * @param promptTokens length of the prompt in tokens
	 * @return the request
	 */
	public static RequestSpec brief(long requestId, int promptTokens) {
		return new RequestSpec(requestId, new WorkspaceId("council"), "brief", WorkKind.MODEL, "outlook", promptTokens,
				100, new long[0], requestId, Optional.empty(), true, 5_000);
	}

	/**
	 * Creates a request for a model that must not run more than once.
	 * @param requestId the identifier of the request
	 * @param key the idempotency key, empty for none
	 * @return the request
	 */
	public static RequestSpec alert(long requestId, Optional<IdempotencyKey> key) {
		return new RequestSpec(requestId, new WorkspaceId("council"), "alert", WorkKind.MODEL, "outlook", 1_000, 100,
				new long[0], requestId, key, false, 5_000);
	}

	/**
	 * Sends a list with the fixture's instance and the given endpoints to the reducer.
	 * @param version version of the list
	 * @param endpoints the listed endpoints
	 */
	public void readList(long version, EndpointDescription... endpoints) {
		InstanceDescription self = new InstanceDescription(SELF, ZONE, "127.0.0.1:2", false, START_EPOCH_MILLIS);
		FleetList list = new FleetList(version, now().epochMillis(), List.of(self), List.of(endpoints));
		send(new PlatformEvent.ListRead(now(), list));
	}

	public Moment now() {
		return new Moment(this.nowMillis, START_EPOCH_MILLIS + this.nowMillis);
	}

	/**
	 * Advances the time without an event.
	 * @param millis the number of milliseconds
	 */
	public void advanceTime(long millis) {
		this.nowMillis += millis;
	}

	/**
	 * Reduces an event and collects its effects.
	 * @param event the event
	 */
	public void send(Event event) {
		this.effects.addAll(this.reducer.reduce(event));
	}

	/**
	 * Removes and returns the collected effects of one type.
	 * @param <T> the type of the effects
	 * @param type the class of the effects
	 * @return the effects in order
	 */
	public <T extends Effect> List<T> takeEffects(Class<T> type) {
		List<T> taken = this.effects.stream().filter(type::isInstance).map(type::cast).toList();
		this.effects.removeIf(type::isInstance);
		return taken;
	}

	public Reducer reducer() {
		return this.reducer;
	}

}
