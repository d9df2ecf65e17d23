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
 * A reducer with a small fleet, driven by hand-made events at a settable time.
 */
public final class FleetFixture {

	/** The zone of everything in the fixture. */
	public static final ZoneId ZONE = new ZoneId("regina-hall");

	/** The instance under test. */
	public static final InstanceId SELF = new InstanceId("entry-1");

	private static final long START_EPOCH_MILLIS = 1_700_000_000_000L;

	private final Reducer reducer = new Reducer(new InstanceIdentity(SELF, ZONE, 7), 1);

	private final List<Effect> effects = new ArrayList<>();

	private long nowMillis = 1_000;

	/**
	 * Creates a reducer that has read a configuration and the given endpoints.
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
	 * @return profiles {@code brief} (repeatable) and {@code alert} (not repeatable)
	 */
	public static FleetConfiguration configuration() {
		return configuration(null);
	}

	/**
	 * Returns the configuration of the fixture with given orders.
	 * @param orders the orders, null for the defaults
	 * @return profiles {@code brief} (repeatable) and {@code alert} (not repeatable)
	 */
	public static FleetConfiguration configuration(OrderSettings orders) {
		return new FleetConfiguration(List.of(ZONE), Map.of("outlook", new ModelSettings("1", List.of(), 0, 0)),
				Map.of("notify", new ServiceSettings(List.of())),
				Map.of("brief", new ProfileSettings(5, 5_000, 60_000, true, false, 0), "alert",
						new ProfileSettings(9, 5_000, 60_000, false, false, 0)),
				Map.of("council", new WorkspaceSettings(1, 0, "")), null, null, null, orders);
	}

	/**
	 * Describes an engine.
	 * @param id its name
	 * @param memoryTokens its KV memory in tokens
	 * @return the description
	 */
	public static EndpointDescription engine(String id, long memoryTokens) {
		return new EndpointDescription(new EndpointId(id), WorkKind.MODEL, ZONE, "127.0.0.1:1", Set.of("outlook"),
				memoryTokens, true, false);
	}

	/**
	 * Describes an engine that is leaving.
	 * @param id its name
	 * @return the description
	 */
	public static EndpointDescription leavingEngine(String id) {
		return new EndpointDescription(new EndpointId(id), WorkKind.MODEL, ZONE, "127.0.0.1:1", Set.of("outlook"),
				400_000, true, true);
	}

	/**
	 * Describes a repeatable request for a model.
	 * @param requestId its identity
	 * @param promptTokens its length in tokens
	 * @return the request
	 */
	public static RequestSpec brief(long requestId, int promptTokens) {
		return new RequestSpec(requestId, new WorkspaceId("council"), "brief", WorkKind.MODEL, "outlook", promptTokens,
				100, new long[0], requestId, Optional.empty(), true, 5_000);
	}

	/**
	 * Describes a request for a model that must not run twice.
	 * @param requestId its identity
	 * @param key its key, empty for none
	 * @return the request
	 */
	public static RequestSpec alert(long requestId, Optional<IdempotencyKey> key) {
		return new RequestSpec(requestId, new WorkspaceId("council"), "alert", WorkKind.MODEL, "outlook", 1_000, 100,
				new long[0], requestId, key, false, 5_000);
	}

	/**
	 * Reads a list of the fixture's instance and the given endpoints.
	 * @param version version of the list
	 * @param endpoints the listed endpoints
	 */
	public void readList(long version, EndpointDescription... endpoints) {
		InstanceDescription self = new InstanceDescription(SELF, ZONE, "127.0.0.1:2", false, START_EPOCH_MILLIS);
		FleetList list = new FleetList(version, now().epochMillis(), List.of(self), List.of(endpoints));
		send(new PlatformEvent.ListRead(now(), list));
	}

	/**
	 * Returns the current time of the fixture.
	 * @return the moment
	 */
	public Moment now() {
		return new Moment(this.nowMillis, START_EPOCH_MILLIS + this.nowMillis);
	}

	/**
	 * Lets time pass without an event.
	 * @param millis by how many milliseconds
	 */
	public void advanceTime(long millis) {
		this.nowMillis += millis;
	}

	/**
	 * Reduces an event and keeps its effects.
	 * @param event the event
	 */
	public void send(Event event) {
		this.effects.addAll(this.reducer.reduce(event));
	}

	/**
	 * Takes the effects of one type since the last call for that type.
	 * @param <T> the type
	 * @param type the type
	 * @return the effects in order
	 */
	public <T extends Effect> List<T> takeEffects(Class<T> type) {
		List<T> taken = this.effects.stream().filter(type::isInstance).map(type::cast).toList();
		this.effects.removeIf(type::isInstance);
		return taken;
	}

	/**
	 * Returns the reducer.
	 * @return the reducer under test
	 */
	public Reducer reducer() {
		return this.reducer;
	}

}
