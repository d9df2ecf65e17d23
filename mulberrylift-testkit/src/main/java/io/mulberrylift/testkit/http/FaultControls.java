package io.mulberrylift.testkit.http;

import java.util.Set;
import java.util.function.Consumer;

import org.eclipse.jetty.http.HttpStatus;

/**
 * Fault switches of a stand-in, reached by {@code POST /control/{name}} with a JSON body.
 *
 * <p>
 * Filled before the server starts; safe for use by several threads from then on.
 * </p>
 */
public final class FaultControls {

	private static final int HALT_STATUS = 137;

	private final Router router;

	/**
	 * Creates the switches and adds those that all stand-ins have: {@code cut} and
	 * {@code crash}.
	 * @param router the stand-in's router
	 * @param gate the stand-in's gate
	 * @param crash what to do on {@code crash}
	 */
	public FaultControls(Router router, NetworkFaults gate, Runnable crash) {
		this.router = router;
		addSwitch("cut", Zones.class, (body) -> gate.setPartitionedZones(body.zones()));
		addSwitch("crash", Switch.class, (body) -> crash.run());
	}

	/**
	 * Adds a switch; it answers 204.
	 * @param <T> type of the body
	 * @param name name in the path
	 * @param type type of the body
	 * @param action what it does
	 */
	public <T> void addSwitch(String name, Class<T> type, Consumer<T> action) {
		this.router.on("POST", "/control/" + name, (exchange) -> {
			action.accept(exchange.body(type));
			exchange.respond(HttpStatus.NO_CONTENT_204);
		});
	}

	/**
	 * Ends this process at once without any cleanup.
	 */
	public static void haltProcess() {
		Runtime.getRuntime().halt(HALT_STATUS);
	}

	/**
	 * Body that turns a fault on or off.
	 *
	 * @param on whether the fault is on; true when it is missing
	 */
	public record Switch(Boolean on) {

		/**
		 * Creates the body.
		 */
		public Switch {
			on = (on != null) ? on : Boolean.TRUE;
		}

	}

	/**
	 * Body that names availability zones.
	 *
	 * @param zones the zones, empty when they are missing
	 */
	public record Zones(Set<String> zones) {

		/**
		 * Creates the body.
		 */
		public Zones {
			zones = (zones != null) ? Set.copyOf(zones) : Set.of();
		}

	}

}
