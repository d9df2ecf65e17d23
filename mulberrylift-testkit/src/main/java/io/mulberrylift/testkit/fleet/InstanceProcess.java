package io.mulberrylift.testkit.fleet;

/**
 * An entry instance of the fleet.
 *
 * @param process the process
 * @param callerAddress host and port for callers
 * @param operatorAddress host and port for operators
 * @param peerAddress host and port for other instances
 */
public record InstanceProcess(ManagedProcess process, String callerAddress, String operatorAddress,
		String peerAddress) {
}
