package io.mulberrylift.gateway.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Binds SLF4J to a Logback context without the search for a configuration, which adds to
 * the processor time of each start. {@link EventLog#configure} adds the appender.
 *
 * <p>
 * Thread-safe. Used by processes that name this class in the system property
 * {@value #PROPERTY} before they use a logger.
 * </p>
 */
public final class DirectLogProvider implements SLF4JServiceProvider {

	/** System property that names the provider of SLF4J. */
	public static final String PROPERTY = "slf4j.provider";

	private static final String VERBOSITY_PROPERTY = "slf4j.internal.verbosity";

	private static final String SLF4J_API_VERSION = "2.0.99";

	private final LoggerContext context = new LoggerContext();

	private final IMarkerFactory markerFactory = new BasicMarkerFactory();

	private final LogbackMDCAdapter contextMap = new LogbackMDCAdapter();

	/**
	 * Selects this provider, unless the process names another one.
	 */
	public static void select() {
		if (System.getProperty(PROPERTY) == null) {
			System.setProperty(PROPERTY, DirectLogProvider.class.getName());
			// Otherwise SLF4J writes a line about the property.
			System.setProperty(VERBOSITY_PROPERTY, "WARN");
		}
	}

	@Override
	public void initialize() {
		this.context.setMDCAdapter(this.contextMap);
		this.context.start();
	}

	@Override
	public ILoggerFactory getLoggerFactory() {
		return this.context;
	}

	@Override
	public IMarkerFactory getMarkerFactory() {
		return this.markerFactory;
	}

	@Override
	public MDCAdapter getMDCAdapter() {
		return this.contextMap;
	}

	@Override
	public String getRequestedApiVersion() {
		return SLF4J_API_VERSION;
	}

}
