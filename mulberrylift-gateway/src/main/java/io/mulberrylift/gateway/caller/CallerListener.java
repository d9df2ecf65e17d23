package io.mulberrylift.gateway.caller;

import io.mulberrylift.core.forwarding.ClientLimits;

/**
 * Takes what happens on callers' connections. Called on the event loop only.
 */
public interface CallerListener {

	/**
	 * A whole request has been read.
	 * @param exchange takes the answer
	 */
	void requestReceived(CallerExchange exchange);

	/**
	 * The caller closed its connection before the final answer.
	 * @param exchange the exchange
	 */
	void callerDisconnected(CallerExchange exchange);

	/**
	 * A caller's answer can take bytes again.
	 * @param exchange the exchange
	 */
	void becameWritable(CallerExchange exchange);

	/**
	 * A request was refused for its form.
	 * @param status status of the answer
	 * @param reason what is wrong
	 */
	void requestRejected(int status, String reason);

	/**
	 * Returns the limits in force.
	 * @return the limits
	 */
	ClientLimits limits();

	/**
	 * Returns whether callers should open their next connection elsewhere.
	 * @return true if answers should close their connections
	 */
	boolean isClosing();

}
