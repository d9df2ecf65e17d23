package io.mulberrylift.daemon.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;

/**
 * Serves the state of the process and the status of its configuration as JSON.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
@Path("admin")
@Produces(MediaType.APPLICATION_JSON)
public final class StateResource {

	private static final ObjectWriter WRITER = JsonMapper.builder()
		.addModule(new Jdk8Module())
		.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
		.build()
		.writerWithDefaultPrettyPrinter();

	private final StateSource state;

	private final ConfigurationSource configuration;

	/**
	 * Creates the resource.
	 * @param state source of the state dump
	 * @param configuration source of the configuration status
	 */
	public StateResource(StateSource state, ConfigurationSource configuration) {
		this.state = state;
		this.configuration = configuration;
	}

	/**
	 * Dumps the state of all parts of the process.
	 * @return the state as JSON
	 * @throws JsonProcessingException if the state cannot be serialized
	 */
	@GET
	@Path("state")
	public String state() throws JsonProcessingException {
		return WRITER.writeValueAsString(this.state.state()) + "\n";
	}

	/**
	 * Returns the version in force and the version that was rejected last.
	 * @return the status as JSON
	 * @throws JsonProcessingException if the status cannot be serialized
	 */
	@GET
	@Path("configuration")
	public String configuration() throws JsonProcessingException {
		return WRITER.writeValueAsString(this.configuration.status()) + "\n";
	}

}
