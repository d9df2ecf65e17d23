package io.mulberrylift.testkit.experiment;

import java.util.List;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.ConfigurationProblem;
import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.ZoneId;

/**
 * State of the simulated network and of the platform services during a run.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
final class FaultConditions {

	/** Version of the document that instances reject. */
	static final long REJECTED_VERSION = 2;

	private final FleetConfiguration configuration;

	private FleetList list;

	private long servedVersion = 1;

	private ZoneId cutZone;

	FaultConditions(FleetConfiguration configuration, FleetList list) {
		this.configuration = configuration;
		this.list = list;
	}

	FleetList list() {
		return this.list;
	}

	void publish(FleetList newList) {
		this.list = newList;
	}

	long servedVersion() {
		return this.servedVersion;
	}

	void serveVersion(long version) {
		this.servedVersion = version;
	}

	ConfigurationCheck check(long version) {
		PublishedDocument document = new PublishedDocument(version, "{}");
		if (version == REJECTED_VERSION) {
			return new ConfigurationCheck.Rejected(document, List.of(new ConfigurationProblem("routing.policy",
					"unknown", "labels of policies", "Specify the label of a routing policy.")));
		}
		return new ConfigurationCheck.Accepted(document, this.configuration);
	}

	void cut(ZoneId zone) {
		this.cutZone = zone;
	}

	void heal() {
		this.cutZone = null;
	}

	/**
	 * Returns whether a network partition separates two zones.
	 * @param one a zone
	 * @param other another zone or the same one
	 * @return true if the zones cannot reach each other
	 */
	boolean areSeparated(ZoneId one, ZoneId other) {
		return one.equals(this.cutZone) != other.equals(this.cutZone);
	}

}
