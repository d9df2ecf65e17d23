package io.mulberrylift.daemon.admin;

import java.util.Optional;

import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/**
 * Tells the platform whether the process runs and whether it may be given requests.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
@Path("/")
@Produces(MediaType.TEXT_PLAIN)
public final class HealthResource {

	private static final int NOT_READY_STATUS = 503;

	private final ReadinessSource readiness;

	/**
	 * Creates the resource.
	 * @param readiness tells whether the instance is ready
	 */
	public HealthResource(ReadinessSource readiness) {
		this.readiness = readiness;
	}

	/**
	 * Answers while the process runs.
	 * @return "ok"
	 */
	@GET
	@Path("healthz")
	public String health() {
		return "ok\n";
	}

	/**
	 * Tells whether the instance may be given requests.
	 * @return status 200, or 503 with the reason
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
