package io.mulberrylift.daemon.instance;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dropwizard.core.setup.Environment;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.daemon.peer.PartitionSwitch;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;

/**
 * Cuts connections to other instances on request, for tests of network partitions.
 * Registered only when the settings ask for it.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class FaultServlet extends HttpServlet {

	private static final long serialVersionUID = 1L;

	private static final String PATH = "/admin/cut";

	private final transient ObjectMapper mapper = new ObjectMapper();

	private final transient PartitionSwitch cuts;

	private FaultServlet(PartitionSwitch cuts) {
		this.cuts = cuts;
	}

	static void register(Environment environment, PartitionSwitch cuts) {
		environment.admin().addServlet("faults", new FaultServlet(cuts)).addMapping(PATH);
	}

	@Override
	protected void doPost(HttpServletRequest request, HttpServletResponse response) throws IOException {
		Set<InstanceId> cut = new HashSet<>();
		for (JsonNode instance : this.mapper.readTree(request.getInputStream()).path("instances")) {
			cut.add(new InstanceId(instance.asText()));
		}
		this.cuts.setPartitioned(cut);
		response.setStatus(HttpServletResponse.SC_NO_CONTENT);
	}

}
