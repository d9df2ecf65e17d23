package io.mulberrylift.daemon.exchange;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The requests in progress by identity.
 *
 * <p>
 * Safe for use by several threads. An exchange stays in the table until it has ended.
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
	 * Returns an exchange.
	 * @param requestId identity of the request
	 * @return the exchange, empty when it has ended
	 */
	public Optional<CallerExchange> find(long requestId) {
		return Optional.ofNullable(this.exchanges.get(requestId));
	}

	/**
	 * Removes an exchange.
	 * @param requestId identity of the request
	 * @return the exchange, empty when it had been removed before
	 */
	public Optional<CallerExchange> remove(long requestId) {
		return Optional.ofNullable(this.exchanges.remove(requestId));
	}

	/**
	 * Returns how many requests are in progress.
	 * @return the number of exchanges
	 */
	public int size() {
		return this.exchanges.size();
	}

}
