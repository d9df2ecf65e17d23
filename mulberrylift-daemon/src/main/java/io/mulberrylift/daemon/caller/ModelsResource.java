package io.mulberrylift.daemon.caller;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.mulberrylift.core.configuration.FleetConfiguration;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;

/**
 * Lists the configured models.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
@Path("/v1/models")
@Produces(MediaType.APPLICATION_JSON)
public final class ModelsResource {

	private final CallerGateway gateway;

	/**
	 * Creates the resource.
	 * @param gateway provides the configuration in force
	 */
	public ModelsResource(CallerGateway gateway) {
		this.gateway = gateway;
	}

	/**
	 * Lists the configured models.
	 * @return the list, or a refusal until a configuration is loaded
	 */
	@GET
	public Response models() {
		CheckResult<FleetConfiguration> configuration = this.gateway.configuration();
		if (configuration instanceof CheckResult.Refused<FleetConfiguration> refused) {
			return ProblemResponses.of(refused.refusal());
		}
		FleetConfiguration fleet = ((CheckResult.Valid<FleetConfiguration>) configuration).value();
		List<ModelEntry> entries = fleet.models()
			.keySet()
			.stream()
			.sorted()
			.map((name) -> new ModelEntry(name, "model", "mulberrylift"))
			.toList();
		return Response.ok(CallerJson.write(new ModelList("list", entries))).build();
	}

	/**
	 * The list of models.
	 *
	 * @param object always "list"
	 * @param data the models
	 */
	private record ModelList(String object, List<ModelEntry> data) {
	}

	/**
	 * A model.
	 *
	 * @param id name of the model
	 * @param object always "model"
	 * @param ownedBy name of this system
	 */
	private record ModelEntry(String id, String object, @JsonProperty("owned_by") String ownedBy) {
	}

}
