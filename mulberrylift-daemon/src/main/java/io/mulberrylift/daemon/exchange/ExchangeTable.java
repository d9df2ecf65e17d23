package io.mulberrylift.daemon.exchange;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The exchanges in progress, by the identity of their request.
 *
 * <p>
 * Thread-safe. An exchange stays in the table until it is removed at its end.
 * </p>
 */
public final class ExchangeTable {

	private final ConcurrentMap<Long, CallerExchange> exchanges = new ConcurrentHashMap<>();

	/**
	 * Adds an exchange.
	 * @param exchange the exchange, not null
	 */
	public void add(CallerExchange exchange) {
		this.exchanges.put(exchange.spec().requestId(), exchange);
	}

	/**
	 * Finds an exchange.
	 * @param requestId identity of the request
	 * @return the exchange, empty if it has been removed
	 */
	public Optional<CallerExchange> find(long requestId) {
		return Optional.ofNullable(this.exchanges.get(requestId));
	}

	/**
	 * Removes an exchange.
	 * @param requestId identity of the request
	 * @return the exchange, empty if it had already been removed
	 */
	public Optional<CallerExchange> remove(long requestId) {
		return Optional.ofNullable(this.exchanges.remove(requestId));
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number of exchanges
	 */
	public int size() {
		return this.exchanges.size();
	}

}
