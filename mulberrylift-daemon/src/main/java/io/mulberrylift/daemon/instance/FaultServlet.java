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
 * Simulates network partitions between instances on request, for tests. Registered only
 * if the settings enable fault switches.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class FaultServlet extends HttpServlet {

	private static final long serialVersionUID = 1L;

	private static final String PATH = "/admin/cut";

	private final transient ObjectMapper mapper = new ObjectMapper();

	private final transient PartitionSwitch partition;

	private FaultServlet(PartitionSwitch partition) {
		this.partition = partition;
	}

	static void register(Environment environment, PartitionSwitch partition) {
		environment.admin().addServlet("faults", new FaultServlet(partition)).addMapping(PATH);
	}

	@Override
	protected void doPost(HttpServletRequest request, HttpServletResponse response) throws IOException {
		Set<InstanceId> partitioned = new HashSet<>();
		for (JsonNode instance : this.mapper.readTree(request.getInputStream()).path("instances")) {
			partitioned.add(new InstanceId(instance.asText()));
		}
		this.partition.setPartitioned(partitioned);
		response.setStatus(HttpServletResponse.SC_NO_CONTENT);
	}

}
