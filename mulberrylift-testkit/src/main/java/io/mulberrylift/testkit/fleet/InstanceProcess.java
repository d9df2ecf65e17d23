package io.mulberrylift.testkit.fleet;

/**
 * Process and addresses of an entry instance of the fleet.
 *
 * @param process the process
 * @param callerAddress host and port of the caller listener
 * @param operatorAddress host and port of the operator listener
 * @param peerAddress host and port of the listener for other instances
 */
public record InstanceProcess(ManagedProcess process, String callerAddress, String operatorAddress,
		String peerAddress) {
}
