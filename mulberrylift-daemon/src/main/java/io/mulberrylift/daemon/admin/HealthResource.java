package io.mulberrylift.daemon.admin;

import java.util.Optional;

import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/**
 * Serves the liveness and readiness probes of the platform.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
@Path("/")
@Produces(MediaType.TEXT_PLAIN)
public final class HealthResource {

	private static final int NOT_READY_STATUS = 503;

	private final ReadinessSource readiness;

	/**
	 * Creates the resource.
	 * @param readiness source of the instance's readiness
	 */
	public HealthResource(ReadinessSource readiness) {
		this.readiness = readiness;
	}

	/**
	 * Serves the liveness probe, which succeeds as long as the process can answer.
	 * @return "ok"
	 */
	@GET
	@Path("healthz")
	public String health() {
		return "ok\n";
	}

	/**
	 * Serves the readiness probe.
	 * @return status 200 if the instance accepts requests, otherwise 503 with the reason
	 */
	@GET
	@Path("readyz")
	public Response ready() {
		Optional<String> reason = this.readiness.notReadyReason();
		return reason.map((text) -> Response.status(NOT_READY_STATUS).entity("not ready: " + text + "\n"))
			.orElseGet(() -> Response.ok("ready\n"))
			.build();
	}

}
