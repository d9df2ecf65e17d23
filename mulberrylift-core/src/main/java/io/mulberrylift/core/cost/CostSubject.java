package io.mulberrylift.core.cost;

/**
 * What the cost of requests is learned for: a route of a service, and the service as a
 * whole for routes that are not known yet. Both are keys of {@link CostTable}. Immutable.
 *
 * @param routeKey key of the route at this service
 * @param serviceKey key of the service
 */
public record CostSubject(int routeKey, int serviceKey) {

	/** Number of bits of the key of a service, few because messages contain it. */
	private static final int SERVICE_KEY_BITS = 16;

	/**
	 * Returns the subject of a route.
	 * @param service name of the service
	 * @param route name of the route; requests choose among configured ones only, so that
	 * callers cannot create subjects
	 * @return the subject, equal on all instances
	 */
	public static CostSubject of(String service, String route) {
		int hash = service.hashCode();
		int serviceKey = (hash ^ (hash >>> SERVICE_KEY_BITS)) & ((1 << SERVICE_KEY_BITS) - 1);
		return new CostSubject(31 * route.hashCode() + hash, serviceKey);
	}

}
