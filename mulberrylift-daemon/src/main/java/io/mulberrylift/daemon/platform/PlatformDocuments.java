package io.mulberrylift.daemon.platform;

import java.io.IOException;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.ZoneId;

/**
 * Deserializes the platform's documents.
 *
 * <p>
 * Safe for use by several threads. Unknown members are ignored; a document without a
 * required member is rejected.
 * </p>
 */
final class PlatformDocuments {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.build();

	private PlatformDocuments() {
	}

	static FleetList readList(byte[] body) throws IOException {
		ListDocument document = MAPPER.readValue(body, ListDocument.class);
		if (document.instances() == null || document.endpoints() == null) {
			throw new IOException(
					"Instance list has no instances or endpoints member; check the platform's list service");
		}
		try {
			return new FleetList(document.version(), document.publishedAtEpochMillis(),
					document.instances().stream().map(Instance::toDescription).toList(),
					document.endpoints().stream().map(Endpoint::toDescription).toList());
		}
		catch (IllegalArgumentException | NullPointerException ex) {
			throw new IOException("Instance list has an invalid entry; correct it at the platform: " + ex.getMessage(),
					ex);
		}
	}

	static PublishedDocument readConfiguration(byte[] body) throws IOException {
		ConfigurationDocument document = MAPPER.readValue(body, ConfigurationDocument.class);
		if (document.document() == null) {
			throw new IOException("Configuration response has no document; check the configuration service");
		}
		return new PublishedDocument(document.version(), document.document());
	}

	private record ConfigurationDocument(long version, String document) {
	}

	private record ListDocument(long version, long publishedAtEpochMillis, List<Instance> instances,
			List<Endpoint> endpoints) {
	}

	private record Instance(String id, String zone, String address, boolean leaving, long listedSinceEpochMillis) {

		InstanceDescription toDescription() {
			return new InstanceDescription(new InstanceId(this.id), new ZoneId(this.zone), this.address, this.leaving,
					this.listedSinceEpochMillis);
		}

	}

	private record Endpoint(String id, WorkKind kind, String zone, String address, Set<String> targets,
			long memoryTokens, boolean checksFencing, boolean leaving) {

		EndpointDescription toDescription() {
			return new EndpointDescription(new EndpointId(this.id), this.kind, new ZoneId(this.zone), this.address,
					this.targets, this.memoryTokens, this.checksFencing, this.leaving);
		}

	}

}
