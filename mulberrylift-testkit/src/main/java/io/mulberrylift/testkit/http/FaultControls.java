package io.mulberrylift.testkit.http;

import java.util.Set;
import java.util.function.Consumer;

import org.eclipse.jetty.http.HttpStatus;

/**
 * Fault switches of a stand-in, exposed as {@code POST /control/{name}} with a JSON body.
 *
 * <p>
 * Switches must be added before the server starts; thread-safe from then on.
 * </p>
 */
public final class FaultControls {

	private static final int HALT_STATUS = 137;

	private final Router router;

	/**
	 * Creates an instance with the switches common to all stand-ins: {@code cut} and
	 * {@code crash}.
	 * @param router the router to which the switches are added
	 * @param networkFaults the network faults controlled by {@code cut}
	 * @param crash the action of {@code crash}
	 */
	public FaultControls(Router router, NetworkFaults networkFaults, Runnable crash) {
		this.router = router;
		addSwitch("cut", Zones.class, (body) -> networkFaults.setPartitionedZones(body.zones()));
		addSwitch("crash", Switch.class, (body) -> crash.run());
	}

	/**
	 * Adds a switch that responds with status 204 after its action has completed.
	 * @param <T> the type of the request body
	 * @param name the name in the path
	 * @param type the type of the request body
	 * @param action the action to perform
	 */
	public <T> void addSwitch(String name, Class<T> type, Consumer<T> action) {
		this.router.on("POST", "/control/" + name, (exchange) -> {
			action.accept(exchange.body(type));
			exchange.respond(HttpStatus.NO_CONTENT_204);
		});
	}

	/**
	 * Terminates this process immediately without running shutdown hooks.
	 */
	public static void haltProcess() {
		Runtime.getRuntime().halt(HALT_STATUS);
	}

	/**
	 * Request body that enables or disables a fault.
	 *
	 * @param on whether the fault is enabled; true if missing
	 */
	public record Switch(Boolean on) {

		/**
		 * Creates the request body.
		 */
		public Switch {
			on = (on != null) ? on : Boolean.TRUE;
		}

	}

	/**
	 * Request body that contains a set of availability zones.
	 *
	 * @param zones the zones, empty if missing
	 */
	public record Zones(Set<String> zones) {

		/**
		 * Creates the request body.
		 */
		public Zones {
			zones = (zones != null) ? Set.copyOf(zones) : Set.of();
		}

	}

}
